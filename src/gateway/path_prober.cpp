// Starts probes and repeats them while a path is broken.
#include "gateway/path_prober.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace samphirespool::gateway {

namespace {

// Machines of the same region accept a connection within a few milliseconds.
constexpr helpers::duration connect_timeout = std::chrono::milliseconds(250);
// A path is used again within a second of its return.
constexpr helpers::duration min_interval = std::chrono::milliseconds(300);
constexpr helpers::duration max_interval = std::chrono::milliseconds(600);
// Other targets that are probed when one path has broken. If their paths are broken too, each of
// them leads to as many more.
constexpr std::size_t checked_others = 4;

} // namespace

path_prober::path_prober(kernel::loop& loop, kernel::random_source& random,
                         kernel::event_sink& events, http::client& client,
                         const discovery::target_catalog& catalog, admission::target_paths& paths)
    : loop(loop), random(random), events(events), client(client), catalog(catalog), paths(paths) {
    paths.on_doubt([this](target_id target) { this->check(target); });
    paths.on_change(
        [this](target_id target, bool is_broken) { this->on_change(target, is_broken); });
}

path_prober::~path_prober() = default;

void path_prober::probe::start(const helpers::endpoint& address) {
    http::client_request request;
    request.to = address;
    request.connect_timeout = connect_timeout;
    request.requires_new_connection = true;
    this->call = this->owner.client.start(request, *this);
}

void path_prober::probe::start_after(helpers::duration delay) {
    this->call.reset();
    this->timer = this->owner.loop.schedule(delay, [this] {
        this->timer = 0;
        this->owner.start(this->target);
    });
}

bool path_prober::probe::on_connected() {
    this->finish(true);
    return false;
}

void path_prober::probe::on_failed(const kernel::error&, bool) {
    this->finish(false);
}

void path_prober::probe::finish(bool has_connected) {
    this->owner.loop.cancel(this->timer);
    this->timer = this->owner.loop.schedule(helpers::duration::zero(), [this, has_connected] {
        this->timer = 0;
        this->owner.on_result(this->target, has_connected);
    });
}

void path_prober::check(target_id target) {
    if (this->probes.contains(target))
        return;
    this->probes.emplace(target, std::make_unique<probe>(*this, target));
    this->start(target);
}

void path_prober::start(target_id target) {
    const auto entry = this->catalog.find(target);
    if (entry == nullptr) {
        this->paths.forget(target);
        this->probes.erase(target);
        return;
    }
    this->probes.at(target)->start(entry->registration.address);
}

void path_prober::on_result(target_id target, bool has_connected) {
    if (has_connected)
        this->probes.erase(target);
    else
        this->probes.at(target)->start_after(
            min_interval + std::chrono::duration_cast<helpers::duration>(
                               (max_interval - min_interval) * this->random.fraction()));
    this->paths.on_probed(target, has_connected);
}

void path_prober::on_change(target_id target, bool is_broken) {
    const auto entry = this->catalog.find(target);
    this->events.write(is_broken ? kernel::severity::warning : kernel::severity::info,
                       is_broken ? "path.broken" : "path.restored", std::nullopt,
                       {{"target", entry == nullptr ? std::string() : entry->registration.name},
                        {"broken_paths", std::uint64_t{this->paths.broken_count()}}});
    if (is_broken && entry != nullptr)
        this->check_others(*entry);
    if (!is_broken && this->restored_handler)
        this->restored_handler();
}

void path_prober::check_others(const discovery::tracked_target& broken) {
    std::vector<target_id> others;
    for (const auto& each : this->catalog.all_targets())
        if (each->serial != broken.serial && !this->probes.contains(each->serial) &&
            !this->paths.is_in_doubt(each->serial))
            others.push_back(each->serial);
    // A partial shuffle: the first ones are a random choice.
    const auto count = std::min(checked_others, others.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(others[i], others[i + this->random.below(others.size() - i)]);
        this->check(others[i]);
    }
}

} // namespace samphirespool::gateway
