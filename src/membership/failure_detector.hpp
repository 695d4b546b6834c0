// Detects failed routers: each period this router pings one other; without an answer it asks a few
// others to ping it; without an answer to that the router is suspected, and dead unless it refutes
// the suspicion in time. The cost per router does not depend on the size of the fleet.
#pragma once

#include "helpers/vm_entry.hpp"
#include "kernel/random.hpp"
#include "membership/member_table.hpp"
#include "membership/message.hpp"

#include <map>
#include <vector>

namespace samphirespool::membership {

struct detector_timing {
    helpers::duration probe_period = std::chrono::milliseconds(500);
    helpers::duration ack_timeout = std::chrono::milliseconds(150);
    // From suspicion to death.
    helpers::duration suspicion = std::chrono::milliseconds(1500);
    // Between tries to reach a seed or a dead member, so that parted sides find each other again.
    helpers::duration reunion_period = std::chrono::seconds(5);
    helpers::duration min_sync_pause = std::chrono::seconds(10);
    // How long a dead member is remembered.
    helpers::duration remember_dead = std::chrono::hours(3);
    // Longest time without tick() that does not count as a pause of this process.
    helpers::duration longest_tick_gap = std::chrono::seconds(1);
};

class failure_detector {
public:
    failure_detector(const kernel::clock& time, kernel::random_source& random,
                     message_outbox& outbox, member_table& table,
                     std::vector<helpers::endpoint> seeds, detector_timing timing = {});

    // To be called every 50 ms or so.
    void tick();
    void on_message(const helpers::endpoint& from, const message& received);

    // Another part got no answer from the member: probe it now.
    void probe(helpers::router_id id);
    // The address refused a connection, so the process that listened there is over.
    void on_connection_refused(const helpers::endpoint& address);
    void set_configuration(config::configuration_version version) { this->configuration = version; }
    // Tells some members that this router is gone by its own will; the last call before exit.
    void leave();
    // The platform's list of VMs: a dead member whose VM is not listed is gone.
    void apply_vm_list(const std::vector<helpers::vm_entry>& vms);

private:
    struct pending_probe {
        helpers::endpoint address;
        helpers::router_id target;
        helpers::time_point sent;
        bool asked_others = false;
        // Of a probe on behalf of another router: where the ack goes, and under which number.
        helpers::endpoint asker;
        std::uint64_t asker_number = 0;
    };

    void resume_after_pause();
    void check_pending();
    void check_suspects();
    void forget_old();
    void probe_next();
    void reunite();
    void ask_others(std::uint64_t number, const pending_probe& probe);
    void start_probe(pending_probe probe);
    void acknowledge(const helpers::endpoint& to, std::uint64_t number);
    void take_ack(const message& received);
    void take_ping_request(const helpers::endpoint& from, const message& received);
    void send_table(const helpers::endpoint& to);
    void sync_if_different(const helpers::endpoint& with, const message& received);
    message prepare(message_type type, std::uint64_t number, const member* receiver);
    const member* by_address(const helpers::endpoint& address) const;
    std::vector<const member*> live_others() const;

    const kernel::clock& time;
    kernel::random_source& random;
    message_outbox& outbox;
    member_table& table;
    std::vector<helpers::endpoint> seeds;
    detector_timing timing;
    config::configuration_version configuration = 0;
    std::map<std::uint64_t, pending_probe> pending;
    std::uint64_t last_number = 0;
    // Members still to be probed in this round, in random order.
    std::vector<helpers::router_id> round;
    helpers::time_point last_tick;
    helpers::time_point next_probe;
    helpers::time_point next_reunion;
    helpers::time_point next_sync;
};

} // namespace samphirespool::membership
