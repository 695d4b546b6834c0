// Runs the failure detector and the roster of one router on its event loop, driven by timers,
// frames from peers and replies of the store.
#pragma once

#include "kernel/event.hpp"
#include "kernel/loop.hpp"
#include "kernel/random.hpp"
#include "membership/failure_detector.hpp"
#include "membership/roster_manager.hpp"
#include "store/object_store.hpp"
#include "wire/membership_codec.hpp"

#include <vector>

namespace samphirespool::router {

class membership_service {
public:
    membership_service(kernel::loop& loop, kernel::random_source& random,
                       wire::peer_transport& transport, store::object_store& store,
                       kernel::event_sink& events, const membership::member_record& self,
                       std::vector<helpers::endpoint> seeds);
    ~membership_service();
    membership_service(const membership_service&) = delete;
    membership_service& operator=(const membership_service&) = delete;

    membership::membership_view& view() { return this->table; }
    const membership::membership_view& view() const { return this->table; }
    membership::roster_manager& roster() { return this->rosters; }
    const membership::roster_manager& roster() const { return this->rosters; }
    std::size_t live_count() const { return this->table.live_count(); }
    // Whether another process runs under this router's name with a later incarnation.
    bool superseded() const { return this->table.superseded(); }

    // Announces a new state of this router to the members.
    void announce(membership::member_state state);
    // Announces the version of the configuration in force on this router.
    void set_configuration(config::configuration_version version);
    // Passes on the platform's list of VMs: a dead member whose VM is not listed has stopped.
    void apply_vm_list(const std::vector<helpers::vm_entry>& vms) {
        this->detector.apply_vm_list(vms);
    }
    // Probes the member now, because another service got no reply from it.
    void probe(helpers::router_id id) { this->detector.probe(id); }
    void on_connection_refused(const helpers::endpoint& address) {
        this->detector.on_connection_refused(address);
    }
    // Announces to the members that this router has left. Stops the timer: the last call before
    // exit.
    void leave();

private:
    static constexpr helpers::duration tick_period = std::chrono::milliseconds(50);

    void tick();
    // Makes the store call that the roster manager needs next, if any.
    void serve_roster();
    void read_roster(const membership::roster_store_call& call);
    void write_roster(const membership::roster_store_call& call);
    // Logs a change of a member; `member` is null if it was removed.
    void log_change(helpers::router_id id, const membership::member* member);

    kernel::loop& loop;
    store::object_store& store;
    kernel::event_sink& events;
    wire::membership_outbox outbox;
    membership::member_table table;
    membership::failure_detector detector;
    membership::roster_manager rosters;
    kernel::timer_id timer = 0;
};

} // namespace samphirespool::router
