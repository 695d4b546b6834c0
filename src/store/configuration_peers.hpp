// Spreads the configuration between routers: relays push to their region, a router where a change
// arises pushes to the relays of all regions, and each router compares digests with a random peer.
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
    // From one comparison with a random peer to the next.
    helpers::duration digest_interval = std::chrono::seconds(1);
    // Until a push that was not confirmed is repeated.
    helpers::duration resend_interval = std::chrono::milliseconds(300);
    // Repetitions of a push; after these the comparisons alone carry it.
    int max_resends = 8;
    // Deltas larger than this are not pushed; the receiver fetches a snapshot.
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

    // Pushes what is in force here; to be called after each change of it.
    void announce();

    // Asks peers for what they have: the relays of the own region and some others.
    void ask_peers();

    // The highest version that a peer is known to have. Nothing if none has told.
    std::optional<config::configuration_version> highest_peer_version() const;

    // Runs after a peer's push changed the list of VMs.
    void on_vms_changed(std::function<void()> listener);

private:
    struct peer_state {
        config::state_digest known;
        int resends = 0;
    };

    void receive(const helpers::endpoint& from, const config::configuration_message& message);
    void take(const helpers::endpoint& from, const config::state_digest& digest);
    void take(const helpers::endpoint& from, const config::delta_push& push);
    void take(const helpers::endpoint& from, const config::snapshot_offer& offer);
    void take(const helpers::endpoint& from, const config::marks_push& push);
    void take(const helpers::endpoint& from, const config::vms_push& push);
    void take(const helpers::endpoint& from, const config::snapshot_request& request);
    void take(const helpers::endpoint& from, const config::snapshot_reply& reply);

    config::state_digest own_digest(bool wants_reply) const;
    void send_digest(const helpers::endpoint& to, bool wants_reply);
    void send_missing(const helpers::endpoint& to, const config::state_digest& has);
    void send_marks(const helpers::endpoint& to);
    void send_deltas(const helpers::endpoint& to, const config::state_digest& has);
    void push(const helpers::endpoint& target, const config::state_digest& last);
    void fetch_from(const helpers::endpoint& peer);
    bool is_known_by(const helpers::endpoint& peer) const;
    std::vector<helpers::endpoint> push_targets() const;
    void compare_with_random_peer();
    void resend();
    void arm_resend();
    void forget_departed();

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
    // What each peer last told, by its address.
    std::map<helpers::endpoint, peer_state> known;
    // True while a peer's message is handled, so that only what arises here goes to all regions.
    bool is_receiving = false;
    bool is_fetching = false;
    kernel::timer_id digest_timer = 0;
    kernel::timer_id resend_timer = 0;
    // Targets of the last push.
    std::vector<helpers::endpoint> targets;
    // Expires with this object, so that late loads find out.
    std::shared_ptr<bool> alive;
};

} // namespace samphirespool::store
