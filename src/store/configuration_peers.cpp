// Pushes updates, retries them until a digest confirms them, and compares digests with random
// peers.
#include "store/configuration_peers.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace samphirespool::store {

namespace {

// Random peers that a starting router asks for their digests besides the relays of its region.
constexpr std::size_t random_peers_at_start = 2;

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
    this->loop.cancel(this->retry_timer);
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
    this->is_handling_message = true;
    std::visit([this, &from](const auto& body) { this->handle(from, body); }, message);
    this->is_handling_message = false;
}

void configuration_peers::handle(const helpers::endpoint& from,
                                 const config::state_digest& digest) {
    this->peer_states[from].digest = digest;
    this->send_missing(from, digest);
    const auto is_ahead = digest.has_state && (!this->manager.has_state() ||
                                               digest.version > this->manager.state().root.version);
    // A peer that is ahead pushes what the replied digest shows to be missing here.
    if (digest.wants_reply || is_ahead)
        this->send_digest(from, false);
}

void configuration_peers::send_missing(const helpers::endpoint& to,
                                       const config::state_digest& digest) {
    const auto own_version = this->manager.state().root.version;
    if (this->manager.has_state() && (!digest.has_state || digest.version < own_version))
        this->send_deltas(to, digest);
    const auto& provisional = this->manager.provisional();
    if (!provisional.empty() && digest.marks != provisional.digest() &&
        digest.version <= own_version)
        this->send_marks(to);
    if (digest.vms < this->vms.version())
        this->network.send(to, this->vms.push_for(digest.vms));
}

void configuration_peers::send_marks(const helpers::endpoint& to) {
    config::marks_push push;
    for (const auto& [id, mark] : this->manager.provisional().entries())
        push.marks.push_back(mark);
    this->network.send(to, push);
}

void configuration_peers::send_deltas(const helpers::endpoint& to,
                                      const config::state_digest& digest) {
    auto deltas = digest.has_state ? this->manager.deltas_since(digest.version) : std::nullopt;
    std::size_t bytes = 0;
    if (deltas)
        for (const auto& delta : *deltas)
            bytes += delta.size();
    if (!deltas || bytes > this->settings.max_push_bytes)
        this->network.send(to, config::snapshot_offer{this->manager.state().root.version});
    else
        this->network.send(to, config::delta_push{std::move(*deltas)});
}

void configuration_peers::handle(const helpers::endpoint& from, const config::delta_push& push) {
    for (const auto& text : push.deltas) {
        const auto delta = config::parse_delta(text);
        const auto applies = delta && this->manager.adopt(*delta) != config::adopt_result::gap;
        if (applies)
            continue;
        // If the delta starts at another version, the digest requests the missing ones. If it is
        // malformed, or does not apply although it starts at the version in force, a snapshot
        // replaces it.
        if (!delta ||
            (this->manager.has_state() && delta->from == this->manager.state().root.version)) {
            this->fetch_from(from);
            return;
        }
        break;
    }
    this->send_digest(from, false);
}

void configuration_peers::handle(const helpers::endpoint& from,
                                 const config::snapshot_offer& offer) {
    if (!this->manager.has_state() || offer.version > this->manager.state().root.version)
        this->fetch_from(from);
}

void configuration_peers::fetch_from(const helpers::endpoint& peer) {
    if (this->is_fetching)
        return;
    this->is_fetching = true;
    this->source.set_peer(peer);
    this->loader.load(this->source,
                      [this, peer, token = std::weak_ptr<bool>(this->alive)](load_status status) {
                          if (token.expired())
                              return;
                          this->is_fetching = false;
                          if (status == load_status::loaded)
                              this->send_digest(peer, false);
                      });
}

void configuration_peers::handle(const helpers::endpoint& from, const config::marks_push& push) {
    for (const auto& mark : push.marks)
        this->manager.add_provisional(mark);
    const auto& own_marks = this->manager.provisional().entries();
    const auto has_all =
        std::all_of(push.marks.begin(), push.marks.end(),
                    [&own_marks](const auto& mark) { return own_marks.contains(mark.id); });
    // A reply with marks always carries more than was received; any other reply ends the exchange.
    // Otherwise two routers of which one is behind, and so cannot agree, would reply to each other
    // forever.
    if (has_all && own_marks.size() > push.marks.size())
        this->send_marks(from);
    else if (has_all)
        this->send_digest(from, false);
}

void configuration_peers::handle(const helpers::endpoint& from, const config::vms_push& push) {
    if (this->vms.adopt(push)) {
        this->push_to_peers();
        if (this->vms_listener)
            this->vms_listener();
    }
    this->send_digest(from, false);
}

void configuration_peers::handle(const helpers::endpoint& from,
                                 const config::snapshot_request& request) {
    this->network.send(from, this->server.reply_to(request));
}

void configuration_peers::handle(const helpers::endpoint&, const config::snapshot_reply& reply) {
    this->source.on_reply(reply);
}

std::optional<config::configuration_version> configuration_peers::highest_peer_version() const {
    std::optional<config::configuration_version> result;
    for (const auto& [address, peer] : this->peer_states)
        if (peer.digest.has_state)
            result = std::max(result.value_or(0), peer.digest.version);
    return result;
}

// A relay pushes to all routers of its region. Updates that originate in this router also go to the
// relays of every region.
std::vector<helpers::endpoint> configuration_peers::choose_recipients() const {
    std::set<helpers::endpoint> recipients;
    const auto& self = this->directory.self();
    if (config::is_relay(this->directory))
        for (const auto& peer : this->directory.peers())
            if (peer.region == self.region)
                recipients.insert(peer.address);
    if (!this->is_handling_message) {
        std::set<std::string_view> regions{self.region};
        for (const auto& peer : this->directory.peers())
            regions.insert(peer.region);
        for (const auto region : regions)
            for (const auto& relay : config::relays_of(this->directory, region))
                if (relay.name != self.name)
                    recipients.insert(relay.address);
    }
    return {recipients.begin(), recipients.end()};
}

bool configuration_peers::is_up_to_date(const helpers::endpoint& peer) const {
    const auto found = this->peer_states.find(peer);
    if (found == this->peer_states.end())
        return false;
    const auto& digest = found->second.digest;
    return digest.version >= this->manager.state().root.version &&
           digest.marks == this->manager.provisional().digest() &&
           digest.vms >= this->vms.version();
}

void configuration_peers::push_to_peers() {
    this->unconfirmed_recipients = this->choose_recipients();
    for (const auto& recipient : this->unconfirmed_recipients) {
        auto& peer = this->peer_states[recipient];
        peer.retries = 0;
        if (this->is_up_to_date(recipient))
            continue;
        this->push(recipient, peer.digest);
    }
    this->schedule_retry();
}

// A peer's last digest may be outdated, so the peer gets only the latest delta. If it lacks more,
// it replies with its digest.
void configuration_peers::push(const helpers::endpoint& recipient,
                               const config::state_digest& last_digest) {
    const auto* latest = this->manager.latest_delta();
    const auto lacks_version = last_digest.version < this->manager.state().root.version;
    if (!last_digest.has_state || (lacks_version && latest == nullptr) ||
        (lacks_version && latest->size() > this->settings.max_push_bytes)) {
        this->send_digest(recipient, true);
        return;
    }
    if (lacks_version)
        this->network.send(recipient, config::delta_push{{*latest}});
    // The version is handled above; the marks and the list of VMs remain.
    auto remaining = last_digest;
    remaining.version = this->manager.state().root.version;
    this->send_missing(recipient, remaining);
}

void configuration_peers::schedule_retry() {
    if (this->retry_timer != 0 || this->unconfirmed_recipients.empty())
        return;
    this->retry_timer = this->loop.schedule(this->settings.retry_interval, [this] {
        this->retry_timer = 0;
        this->retry_unconfirmed();
    });
}

void configuration_peers::retry_unconfirmed() {
    std::erase_if(this->unconfirmed_recipients, [this](const helpers::endpoint& recipient) {
        return this->is_up_to_date(recipient) ||
               ++this->peer_states[recipient].retries > this->settings.max_retries;
    });
    for (const auto& recipient : this->unconfirmed_recipients)
        this->send_digest(recipient, true);
    this->schedule_retry();
}

void configuration_peers::compare_with_random_peer() {
    const auto& peers = this->directory.peers();
    if (!peers.empty())
        this->send_digest(peers[this->random.below(peers.size())].address, true);
    this->erase_removed_peers();
    this->digest_timer = this->loop.schedule(this->settings.digest_interval,
                                             [this] { this->compare_with_random_peer(); });
}

void configuration_peers::request_digests() {
    std::set<helpers::endpoint> addresses;
    const auto& self = this->directory.self();
    for (const auto& relay : config::relays_of(this->directory, self.region))
        if (relay.name != self.name)
            addresses.insert(relay.address);
    const auto& peers = this->directory.peers();
    for (std::size_t i = 0; i < random_peers_at_start && !peers.empty(); ++i)
        addresses.insert(peers[this->random.below(peers.size())].address);
    for (const auto& address : addresses)
        this->send_digest(address, true);
}

void configuration_peers::erase_removed_peers() {
    std::set<helpers::endpoint> live_addresses;
    for (const auto& peer : this->directory.peers())
        live_addresses.insert(peer.address);
    std::erase_if(this->peer_states, [&live_addresses](const auto& entry) {
        return !live_addresses.contains(entry.first);
    });
}

} // namespace samphirespool::store
