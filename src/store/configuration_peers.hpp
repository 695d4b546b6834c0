// Replicates the configuration, the provisional marks and the list of VMs between routers. Relays
// push to their region, the router where a change originates pushes to the relays of all regions,
// and each router periodically compares digests with a random peer.
#pragma once

#include "config/configuration_manager.hpp"
#include "config/configuration_network.hpp"
#include "config/vm_view.hpp"
#include "kernel/loop.hpp"
#include "kernel/random.hpp"
#include "store/peer_source.hpp"
#include "store/state_loader.hpp"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace samphirespool::store {

struct peers_settings {
    // Interval between comparisons with a random peer.
    helpers::duration digest_interval = std::chrono::seconds(1);
    // Interval between retries of an unconfirmed push.
    helpers::duration retry_interval = std::chrono::milliseconds(300);
    // Retries of a push; after these the update spreads only by the comparison of digests.
    int max_retries = 8;
    // Limit on the size of pushed deltas; for larger ones the receiver fetches a snapshot.
    std::size_t max_push_bytes = 512'000;
};

class configuration_peers {
public:
    configuration_peers(kernel::loop& loop, kernel::random_source& random,
                        config::configuration_network& network,
                        const config::peer_directory& directory,
                        config::configuration_manager& manager, state_loader& loader,
                        config::vm_view& vms, const peers_settings& settings);
    ~configuration_peers();
    configuration_peers(const configuration_peers&) = delete;
    configuration_peers& operator=(const configuration_peers&) = delete;

    void start();

    // Pushes the state of this router to its peers. To be called after each change of the
    // configuration or of the list of VMs.
    void push_to_peers();

    // Requests the digests of the relays of this region and of some random peers.
    void request_digests();

    // The highest version in the peers' digests. Nothing if no peer with a state has sent one.
    std::optional<config::configuration_version> highest_peer_version() const;

    // Sets the listener that runs after a peer's push has changed the list of VMs.
    void on_vms_changed(std::function<void()> listener);

private:
    struct peer_state {
        // The last one received; empty before.
        config::state_digest digest;
        int retries = 0;
    };

    void receive(const helpers::endpoint& from, const config::configuration_message& message);
    void handle(const helpers::endpoint& from, const config::state_digest& digest);
    void handle(const helpers::endpoint& from, const config::delta_push& push);
    void handle(const helpers::endpoint& from, const config::snapshot_offer& offer);
    void handle(const helpers::endpoint& from, const config::marks_push& push);
    void handle(const helpers::endpoint& from, const config::vms_push& push);
    void handle(const helpers::endpoint& from, const config::snapshot_request& request);
    void handle(const helpers::endpoint& from, const config::snapshot_reply& reply);

    config::state_digest own_digest(bool wants_reply) const;
    void send_digest(const helpers::endpoint& to, bool wants_reply);
    // Sends what the peer with this digest lacks.
    void send_missing(const helpers::endpoint& to, const config::state_digest& digest);
    void send_marks(const helpers::endpoint& to);
    void send_deltas(const helpers::endpoint& to, const config::state_digest& digest);
    // Sends the latest update to a peer whose last digest may be outdated.
    void push(const helpers::endpoint& recipient, const config::state_digest& last_digest);
    void fetch_from(const helpers::endpoint& peer);
    bool is_up_to_date(const helpers::endpoint& peer) const;
    std::vector<helpers::endpoint> choose_recipients() const;
    void compare_with_random_peer();
    void retry_unconfirmed();
    void schedule_retry();
    void erase_removed_peers();

    kernel::loop& loop;
    kernel::random_source& random;
    config::configuration_network& network;
    const config::peer_directory& directory;
    config::configuration_manager& manager;
    state_loader& loader;
    config::vm_view& vms;
    peers_settings settings;
    peer_source source;
    snapshot_server server;
    std::function<void()> vms_listener;
    // By the peer's address.
    std::map<helpers::endpoint, peer_state> peer_states;
    // True while a peer's message is handled. Updates that arise meanwhile come from a peer and are
    // not pushed to the other regions.
    bool is_handling_message = false;
    bool is_fetching = false;
    kernel::timer_id digest_timer = 0;
    kernel::timer_id retry_timer = 0;
    // Recipients of the last push; each retry first removes those that have confirmed it or had
    // max_retries retries.
    std::vector<helpers::endpoint> unconfirmed_recipients;
    // Expires with this object; callbacks of loads check it through a weak pointer.
    std::shared_ptr<bool> alive;
};

} // namespace samphirespool::store
