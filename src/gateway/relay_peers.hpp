// The other gateways through which this one can have requests served when it has no path of its own
// to a service's targets, and what they have last made of that.
#pragma once

#include "exchange/hub_order.hpp"
#include "helpers/ids.hpp"
#include "helpers/time.hpp"
#include "kernel/random.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace samphirespool::gateway {

struct relay_peer {
    std::string name;
    helpers::endpoint address;
};

class relay_peers {
public:
    relay_peers(std::string self, kernel::random_source& random)
        : self(std::move(self)), random(random) {}

    const std::string& own_name() const { return this->self; }

    // Members without a relay address are of a release that passes on no requests.
    void set_members(std::span<const exchange::member> members);

    bool has_candidate(helpers::service_id service, std::span<const std::string> tried,
                       helpers::time_point now) const;
    // Of two random candidates the one on which fewer requests of this gateway are in progress.
    std::optional<relay_peer> choose(helpers::service_id service,
                                     std::span<const std::string> tried, helpers::time_point now);

    void on_started(const std::string& peer);
    void on_finished(const std::string& peer);
    // The peer has no path to the service's targets either, or serves nothing now.
    void on_refused(const std::string& peer, helpers::service_id service, helpers::time_point now);
    // The peer cannot be reached.
    void on_unreachable(const std::string& peer, helpers::time_point now);
    void on_served(const std::string& peer, helpers::service_id service);

    std::size_t in_progress() const;

private:
    // A peer is passed over for a time that doubles with each further failure.
    struct backoff {
        helpers::time_point until{};
        helpers::duration time{};

        void renew(helpers::time_point now);
    };

    struct peer_state {
        helpers::endpoint address;
        std::uint32_t in_progress = 0;
        backoff unreachable;
        std::unordered_map<helpers::service_id, backoff> refused;
    };

    bool is_candidate(const std::string& name, const peer_state& state, helpers::service_id service,
                      std::span<const std::string> tried, helpers::time_point now) const;

    std::string self;
    kernel::random_source& random;
    std::map<std::string, peer_state> peers;
};

} // namespace samphirespool::gateway
