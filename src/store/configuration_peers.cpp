// Push, confirmation by digest, and comparison with random peers.
#include "store/configuration_peers.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace samphirespool::store {

namespace {

// Random peers that a starting router asks besides the relays of its region.
constexpr std::size_t asked_at_random = 2;

} // namespace

configuration_peers::configuration_peers(kernel::loop& loop, kernel::random_source& random,
                                         config::configuration_network& network,
                                         const config::peer_directory& directory,
                                         config::configuration_manager& manager,
                                         state_loader& loader, config::vm_view& vms,
                                         const peers_settings& settings)
    : loop(loop),
      random(random),
      network(network),
      directory(directory),
      manager(manager),
      loader(loader),
      vms(vms),
      settings(settings),
      source(loop, network),
      server(manager),
      alive(std::make_shared<bool>(true)) {}

configuration_peers::~configuration_peers() {
    this->loop.cancel(this->digest_timer);
    this->loop.cancel(this->resend_timer);
    this->network.set_receiver({});
}

void configuration_peers::start() {
    this->network.set_receiver(
        [this](const auto& from, const auto& message) { this->receive(from, message); });
    const auto phase = this->settings.digest_interval * this->random.fraction();
    this->digest_timer = this->loop.schedule(std::chrono::duration_cast<helpers::duration>(phase),
                                             [this] { this->compare_with_random_peer(); });
}

void configuration_peers::on_vms_changed(std::function<void()> listener) {
    this->vms_listener = std::move(listener);
}

config::state_digest configuration_peers::own_digest(bool wants_reply) const {
    return {this->manager.has_state(), this->manager.state().root.version,
            this->manager.provisional().digest(), this->vms.version(), wants_reply};
}

void configuration_peers::send_digest(const helpers::endpoint& to, bool wants_reply) {
    this->network.send(to, this->own_digest(wants_reply));
}

void configuration_peers::receive(const helpers::endpoint& from,
                                  const config::configuration_message& message) {
    this->is_receiving = true;
    std::visit([this, &from](const auto& body) { this->take(from, body); }, message);
    this->is_receiving = false;
}

void configuration_peers::take(const helpers::endpoint& from, const config::state_digest& digest) {
    this->known[from].known = digest;
    this->send_missing(from, digest);
    const auto is_ahead = digest.has_state && (!this->manager.has_state() ||
                                               digest.version > this->manager.state().root.version);
    // A peer that is ahead learns by the reply what to push.
    if (digest.wants_reply || is_ahead)
        this->send_digest(from, false);
}

void configuration_peers::send_missing(const helpers::endpoint& to,
                                       const config::state_digest& has) {
    const auto own_version = this->manager.state().root.version;
    if (this->manager.has_state() && (!has.has_state || has.version < own_version))
        this->send_deltas(to, has);
    const auto& provisional = this->manager.provisional();
    if (!provisional.empty() && has.marks != provisional.digest() && has.version <= own_version)
        this->send_marks(to);
    if (has.vms < this->vms.version())
        this->network.send(to, this->vms.push_for(has.vms));
}

void configuration_peers::send_marks(const helpers::endpoint& to) {
    config::marks_push push;
    for (const auto& [id, mark] : this->manager.provisional().entries())
        push.marks.push_back(mark);
    this->network.send(to, push);
}

void configuration_peers::send_deltas(const helpers::endpoint& to,
                                      const config::state_digest& has) {
    auto deltas = has.has_state ? this->manager.deltas_since(has.version) : std::nullopt;
    std::size_t bytes = 0;
    if (deltas)
        for (const auto& each : *deltas)
            bytes += each.size();
    if (!deltas || bytes > this->settings.max_push_bytes)
        this->network.send(to, config::snapshot_offer{this->manager.state().root.version});
    else
        this->network.send(to, config::delta_push{std::move(*deltas)});
}

void configuration_peers::take(const helpers::endpoint& from, const config::delta_push& push) {
    for (const auto& text : push.deltas) {
        const auto delta = config::parse_delta(text);
        const auto fits = delta && this->manager.adopt(*delta) != config::adopt_result::gap;
        if (fits)
            continue;
        // What starts at another version is asked for by the digest; what does not fit although
        // it starts here is replaced by a snapshot.
        if (!delta ||
            (this->manager.has_state() && delta->from == this->manager.state().root.version)) {
            this->fetch_from(from);
            return;
        }
        break;
    }
    this->send_digest(from, false);
}

void configuration_peers::take(const helpers::endpoint& from, const config::snapshot_offer& offer) {
    if (!this->manager.has_state() || offer.version > this->manager.state().root.version)
        this->fetch_from(from);
}

void configuration_peers::fetch_from(const helpers::endpoint& peer) {
    if (this->is_fetching)
        return;
    this->is_fetching = true;
    this->source.use(peer);
    this->loader.load(this->source,
                      [this, peer, token = std::weak_ptr<bool>(this->alive)](load_status status) {
                          if (token.expired())
                              return;
                          this->is_fetching = false;
                          if (status == load_status::loaded)
                              this->send_digest(peer, false);
                      });
}

void configuration_peers::take(const helpers::endpoint& from, const config::marks_push& push) {
    for (const auto& mark : push.marks)
        this->manager.add_provisional(mark);
    const auto& held = this->manager.provisional().entries();
    const auto has_all = std::all_of(push.marks.begin(), push.marks.end(),
                                     [&held](const auto& mark) { return held.contains(mark.id); });
    // Each answer carries more than was received or ends the exchange, so two routers that cannot
    // agree, because one of them is behind, don't answer each other for ever.
    if (has_all && held.size() > push.marks.size())
        this->send_marks(from);
    else if (has_all)
        this->send_digest(from, false);
}

void configuration_peers::take(const helpers::endpoint& from, const config::vms_push& push) {
    if (this->vms.adopt(push)) {
        this->announce();
        if (this->vms_listener)
            this->vms_listener();
    }
    this->send_digest(from, false);
}

void configuration_peers::take(const helpers::endpoint& from,
                               const config::snapshot_request& request) {
    this->network.send(from, this->server.answer(request));
}

void configuration_peers::take(const helpers::endpoint&, const config::snapshot_reply& reply) {
    this->source.take(reply);
}

std::optional<config::configuration_version> configuration_peers::highest_peer_version() const {
    std::optional<config::configuration_version> result;
    for (const auto& [address, peer] : this->known)
        if (peer.known.has_state)
            result = std::max(result.value_or(0), peer.known.version);
    return result;
}

// Relays serve their region; what arises here goes to the relays of every region as well.
std::vector<helpers::endpoint> configuration_peers::push_targets() const {
    std::set<helpers::endpoint> chosen;
    const auto& self = this->directory.self();
    if (config::is_relay(this->directory))
        for (const auto& peer : this->directory.peers())
            if (peer.region == self.region)
                chosen.insert(peer.address);
    if (!this->is_receiving) {
        std::set<std::string_view> regions{self.region};
        for (const auto& peer : this->directory.peers())
            regions.insert(peer.region);
        for (const auto region : regions)
            for (const auto& relay : config::relays_of(this->directory, region))
                if (relay.name != self.name)
                    chosen.insert(relay.address);
    }
    return {chosen.begin(), chosen.end()};
}

bool configuration_peers::is_known_by(const helpers::endpoint& peer) const {
    const auto found = this->known.find(peer);
    if (found == this->known.end())
        return false;
    const auto& has = found->second.known;
    return has.version >= this->manager.state().root.version &&
           has.marks == this->manager.provisional().digest() && has.vms >= this->vms.version();
}

void configuration_peers::announce() {
    this->targets = this->push_targets();
    for (const auto& target : this->targets) {
        auto& peer = this->known[target];
        peer.resends = 0;
        if (this->is_known_by(target))
            continue;
        this->push(target, peer.known);
    }
    this->arm_resend();
}

// What a peer last told may be old, so it gets the latest delta alone; one that lacks more says so
// by its digest.
void configuration_peers::push(const helpers::endpoint& target, const config::state_digest& last) {
    const auto* latest = this->manager.latest_delta();
    const auto lacks_version = last.version < this->manager.state().root.version;
    if (!last.has_state || (lacks_version && latest == nullptr) ||
        (lacks_version && latest->size() > this->settings.max_push_bytes)) {
        this->send_digest(target, true);
        return;
    }
    if (lacks_version)
        this->network.send(target, config::delta_push{{*latest}});
    auto rest = last;
    rest.version = this->manager.state().root.version;
    this->send_missing(target, rest);
}

void configuration_peers::arm_resend() {
    if (this->resend_timer != 0 || this->targets.empty())
        return;
    this->resend_timer = this->loop.schedule(this->settings.resend_interval, [this] {
        this->resend_timer = 0;
        this->resend();
    });
}

void configuration_peers::resend() {
    std::erase_if(this->targets, [this](const helpers::endpoint& target) {
        return this->is_known_by(target) ||
               ++this->known[target].resends > this->settings.max_resends;
    });
    for (const auto& target : this->targets)
        this->send_digest(target, true);
    this->arm_resend();
}

void configuration_peers::compare_with_random_peer() {
    const auto& peers = this->directory.peers();
    if (!peers.empty())
        this->send_digest(peers[this->random.below(peers.size())].address, true);
    this->forget_departed();
    this->digest_timer = this->loop.schedule(this->settings.digest_interval,
                                             [this] { this->compare_with_random_peer(); });
}

void configuration_peers::ask_peers() {
    std::set<helpers::endpoint> asked;
    const auto& self = this->directory.self();
    for (const auto& relay : config::relays_of(this->directory, self.region))
        if (relay.name != self.name)
            asked.insert(relay.address);
    const auto& peers = this->directory.peers();
    for (std::size_t i = 0; i < asked_at_random && !peers.empty(); ++i)
        asked.insert(peers[this->random.below(peers.size())].address);
    for (const auto& address : asked)
        this->send_digest(address, true);
}

void configuration_peers::forget_departed() {
    std::set<helpers::endpoint> present;
    for (const auto& peer : this->directory.peers())
        present.insert(peer.address);
    std::erase_if(this->known,
                  [&present](const auto& entry) { return !present.contains(entry.first); });
}

} // namespace samphirespool::store
