// Detects failed routers by the SWIM protocol: in each interval this router pings one other member.
// Without an ack it requests indirect pings from a few peers; without an ack to those the member is
// suspected, and declared dead unless it refutes the suspicion before a timeout. The cost per
// router does not depend on the size of the fleet.
#pragma once

#include "helpers/vm_entry.hpp"
#include "kernel/random.hpp"
#include "membership/member_table.hpp"
#include "membership/message.hpp"

#include <map>
#include <vector>

namespace samphirespool::membership {

struct detector_timing {
    helpers::duration probe_interval = std::chrono::milliseconds(500);
    // Applies once to the direct ping and once more to the indirect ones.
    helpers::duration ack_timeout = std::chrono::milliseconds(150);
    // From suspicion to the declaration as dead.
    helpers::duration suspicion_timeout = std::chrono::milliseconds(1500);
    // Between pings to a seed or a dead member, by which the sides of a healed partition find each
    // other again.
    helpers::duration reconnect_interval = std::chrono::seconds(5);
    // Between two requests for another router's full table.
    helpers::duration min_sync_interval = std::chrono::seconds(10);
    // How long the record of a dead member is kept.
    helpers::duration dead_retention = std::chrono::hours(3);
    // Longest time without tick() that does not count as a pause of this process.
    helpers::duration max_tick_gap = std::chrono::seconds(1);
};

class failure_detector {
public:
    failure_detector(const kernel::clock& time, kernel::random_source& random,
                     message_outbox& outbox, member_table& table,
                     std::vector<helpers::endpoint> seeds, detector_timing timing = {});

    // To be called about every 50 ms.
    void tick();
    void on_message(const helpers::endpoint& from, const message& received);

    // Probes the member at once, for example after it did not reply to another component.
    void probe(helpers::router_id id);
    // The address refused a connection, so the process that listened there has stopped.
    void on_connection_refused(const helpers::endpoint& address);
    void set_configuration(config::configuration_version version) { this->configuration = version; }
    // Announces to a few members that this router has left; the last call before exit.
    void leave();
    // Applies the platform's list of VMs: a dead member whose VM is not listed has stopped.
    void apply_vm_list(const std::vector<helpers::vm_entry>& vms);

private:
    struct pending_probe {
        helpers::endpoint address;
        helpers::router_id target;
        helpers::time_point sent;
        bool indirect_sent = false;
        // Set for a probe on behalf of another router: where the ack goes and its number.
        helpers::endpoint origin;
        std::uint64_t origin_number = 0;
    };

    void resume_after_pause();
    void check_pending();
    void check_suspects();
    void remove_expired();
    void probe_next();
    void probe_unreachable();
    void send_indirect_probes(std::uint64_t number, const pending_probe& probe);
    void start_probe(pending_probe probe);
    void acknowledge(const helpers::endpoint& to, std::uint64_t number);
    void handle_ack(const message& received);
    void handle_ping_request(const helpers::endpoint& from, const message& received);
    void send_table(const helpers::endpoint& to);
    void sync_if_different(const helpers::endpoint& with, const message& received);
    message prepare(message_type type, std::uint64_t number, const member* receiver);
    const member* find_by_address(const helpers::endpoint& address) const;
    std::vector<const member*> live_peers() const;

    const kernel::clock& time;
    kernel::random_source& random;
    message_outbox& outbox;
    member_table& table;
    std::vector<helpers::endpoint> seeds;
    detector_timing timing;
    config::configuration_version configuration = 0;
    std::map<std::uint64_t, pending_probe> pending;
    std::uint64_t last_number = 0;
    // Members that this round has not probed yet, in random order.
    std::vector<helpers::router_id> round;
    helpers::time_point last_tick;
    helpers::time_point next_probe;
    helpers::time_point next_reconnect_probe;
    helpers::time_point next_sync_at;
};

} // namespace samphirespool::membership
