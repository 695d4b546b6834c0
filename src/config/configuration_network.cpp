// Chooses the relays of a region and the fleet's collector by rendezvous hashing.
#include "config/configuration_network.hpp"

#include "helpers/ids.hpp"

#include <algorithm>

namespace samphirespool::config {

namespace {

constexpr std::size_t relays_per_region = 2;

std::uint64_t relay_rank(const peer_router& router) {
    return helpers::hash_name("relay/" + router.region + "/" + router.name);
}

} // namespace

std::vector<peer_router> relays_of(const peer_directory& directory, std::string_view region) {
    std::vector<peer_router> result;
    if (directory.self().region == region)
        result.push_back(directory.self());
    for (const auto& peer : directory.peers())
        if (peer.region == region)
            result.push_back(peer);
    std::sort(result.begin(), result.end(), [](const auto& a, const auto& b) {
        return std::pair(relay_rank(a), std::string_view(a.name)) <
               std::pair(relay_rank(b), std::string_view(b.name));
    });
    if (result.size() > relays_per_region)
        result.resize(relays_per_region);
    return result;
}

bool is_relay(const peer_directory& directory) {
    const auto relays = relays_of(directory, directory.self().region);
    return std::any_of(relays.begin(), relays.end(), [&directory](const peer_router& relay) {
        return relay.name == directory.self().name;
    });
}

bool is_collector(const peer_directory& directory) {
    const auto own_rank = helpers::hash_name("collector/" + directory.self().name);
    const auto& peers = directory.peers();
    return std::all_of(peers.begin(), peers.end(), [own_rank](const peer_router& peer) {
        return own_rank < helpers::hash_name("collector/" + peer.name);
    });
}

} // namespace samphirespool::config
