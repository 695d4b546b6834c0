// Compares the quarantined suspects with their entries in the store, and writes the differences.
#include "gateway/quarantine_registry.hpp"

#include "helpers/hex.hpp"

#include <utility>
#include <vector>

namespace samphirespool::gateway {

namespace {

constexpr helpers::duration reconcile_interval = std::chrono::milliseconds(200);
constexpr helpers::duration retry_delay = std::chrono::seconds(1);
// The entry of a released suspect is kept for gateways that are cut off from their peers.
constexpr helpers::duration released_lifetime = std::chrono::minutes(2);

} // namespace

quarantine_registry::quarantine_registry(kernel::loop& loop, kernel::event_sink& events,
                                         discovery::feed_source& store, const object_codec& codec,
                                         crash_guard& crashes)
    : loop(loop), events(events), store(store), codec(codec), crashes(crashes) {}

quarantine_registry::~quarantine_registry() {
    this->loop.cancel(this->timer);
}

void quarantine_registry::start() {
    this->reconcile();
}

void quarantine_registry::set_entries(const std::map<std::string, std::string>& contents) {
    const auto now = this->loop.time().now();
    auto former = std::exchange(this->listed, {});
    std::vector<admission::crash_evidence> news;
    for (const auto& [name, content] : contents) {
        kernel::error reason;
        const auto state = this->codec.read_suspect(name, content, reason);
        if (!state) {
            this->events.write(kernel::severity::warning, "quarantine.rejected", std::nullopt,
                               {{"suspect", name}, {"reason", reason.detail}});
            continue;
        }
        const auto before = former.find(state->suspect);
        const bool is_known = before != former.end() && before->second.state == *state;
        this->listed[state->suspect] = {*state, is_known ? before->second.changed_at : now};
        if (!is_known)
            news.push_back(*state);
    }
    this->crashes.merge(news);
}

void quarantine_registry::reconcile() {
    this->timer = this->loop.schedule(reconcile_interval, [this] { this->reconcile(); });
    if (this->is_calling || this->loop.time().now() < this->next_call_at)
        return;
    if (this->is_writer && !this->is_writer())
        return;
    if (!this->write_next())
        this->remove_next_released();
}

bool quarantine_registry::write_next() {
    for (const auto& state : this->crashes.quarantined()) {
        const auto found = this->listed.find(state.suspect);
        const bool exists = found != this->listed.end();
        const bool is_recorded = exists && found->second.state.is_quarantined &&
                                 found->second.state.generation == state.generation &&
                                 found->second.state.failed_trials >= state.failed_trials;
        const bool is_outdated = exists && found->second.state.generation > state.generation;
        if (is_recorded || is_outdated)
            continue;
        this->write(state, exists);
        return true;
    }
    for (const auto& [suspect, entry] : this->listed) {
        const auto state = this->crashes.state_of(suspect);
        if (!entry.state.is_quarantined || !state || state->is_quarantined ||
            state->generation <= entry.state.generation)
            continue;
        this->write(*state, true);
        return true;
    }
    return false;
}

bool quarantine_registry::remove_next_released() {
    const auto now = this->loop.time().now();
    for (const auto& [suspect, entry] : this->listed) {
        if (entry.state.is_quarantined || now - entry.changed_at < released_lifetime)
            continue;
        this->is_calling = true;
        this->call = this->store.remove(discovery::collection::quarantine, helpers::to_hex(suspect),
                                        [this, id = suspect](const auto& result) {
                                            if (!std::holds_alternative<kernel::error>(result))
                                                this->listed.erase(id);
                                            this->on_finished(id, result);
                                        });
        return true;
    }
    return false;
}

void quarantine_registry::write(const admission::crash_evidence& state, bool exists) {
    this->is_calling = true;
    const auto name = helpers::to_hex(state.suspect);
    const auto content = this->codec.write_suspect(state);
    const auto done = [this, state](const discovery::feed_result& result) {
        // Until the feed shows the entry, it is not written again.
        if (!std::holds_alternative<kernel::error>(result))
            this->listed[state.suspect] = {state, this->loop.time().now()};
        this->on_finished(state.suspect, result);
    };
    const auto kind = discovery::collection::quarantine;
    this->call = exists ? this->store.replace(kind, name, content, done)
                        : this->store.create(kind, name, content, done);
}

void quarantine_registry::on_finished(std::uint64_t suspect, const discovery::feed_result& result) {
    this->is_calling = false;
    const auto* reason = std::get_if<kernel::error>(&result);
    if (reason != nullptr)
        this->next_call_at = this->loop.time().now() + retry_delay;
    // A conflict means that another gateway was first.
    const bool is_done = reason == nullptr || reason->kind == kernel::error_kind::conflict;
    this->events.write(is_done ? kernel::severity::info : kernel::severity::warning,
                       "quarantine.recorded", std::nullopt,
                       {{"suspect", helpers::to_hex(suspect)},
                        {"done", is_done},
                        {"reason", reason == nullptr ? std::string() : reason->detail}});
}

} // namespace samphirespool::gateway
