// The sequence of list and watch calls, and the switch between own calls and a peer's updates.
#include "discovery/feed_watch.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace samphirespool::discovery {

std::string_view to_string(collection kind) {
    constexpr std::array<std::string_view, 4> names{"configuration", "targets", "departures",
                                                    "members"};
    return names.at(static_cast<std::size_t>(kind));
}

feed_watch::feed_watch(kernel::loop& loop, kernel::random_source& random,
                       kernel::event_sink& events, feed_source& source, feed_receiver& receiver,
                       collection kind, const watch_timing& timing)
    : loop(loop),
      random(random),
      events(events),
      source(source),
      receiver(receiver),
      kind(kind),
      timing(timing),
      backoff(timing.initial_backoff) {}

feed_watch::~feed_watch() {
    this->loop.cancel(this->timer);
}

void feed_watch::start() {
    this->list();
}

void feed_watch::list() {
    const auto last_name =
        this->partial_list.empty() ? std::string() : this->partial_list.back().name;
    this->call = this->source.list(this->kind, last_name, [this](feed_result result) {
        this->completed_call = std::move(this->call);
        this->on_listed(std::move(result));
    });
}

void feed_watch::watch() {
    this->call = this->source.watch(this->kind, this->revision, this->timing.wait,
                                    [this](feed_result result) {
                                        this->completed_call = std::move(this->call);
                                        this->on_watched(std::move(result));
                                    });
}

void feed_watch::on_listed(feed_result result) {
    auto* page = std::get_if<feed_page>(&result);
    if (page == nullptr) {
        const auto* reason = std::get_if<kernel::error>(&result);
        this->partial_list.clear();
        this->on_failure(reason != nullptr ? *reason : kernel::error{});
        return;
    }
    this->on_success();
    // The watch starts at the first page's revision, so that it returns changes that were made
    // while later pages were read.
    if (this->partial_list.empty())
        this->revision = page->revision;
    std::move(page->objects.begin(), page->objects.end(), std::back_inserter(this->partial_list));
    if (page->more && !page->objects.empty()) {
        this->call_after(helpers::duration::zero(), &feed_watch::list);
        return;
    }
    const auto objects = std::exchange(this->partial_list, {});
    this->needs_list = false;
    this->has_listed = true;
    this->receiver.replace(objects);
    if (this->page_handler) {
        feed_page list_page;
        list_page.revision = this->revision;
        this->page_handler(list_page, true);
    }
    this->call_after(helpers::duration::zero(), &feed_watch::watch);
}

void feed_watch::on_watched(feed_result result) {
    if (const auto* reason = std::get_if<kernel::error>(&result)) {
        this->on_failure(*reason);
        return;
    }
    this->on_success();
    if (std::holds_alternative<history_lost>(result)) {
        this->events.write(
            kernel::severity::warning, "feed.history_lost", std::nullopt,
            {{"collection", std::string(to_string(this->kind))}, {"revision", this->revision}});
        this->needs_list = true;
        this->call_after(helpers::duration::zero(), &feed_watch::list);
        return;
    }
    const auto& page = std::get<feed_page>(result);
    this->apply(page);
    this->call_after(page.objects.empty() ? helpers::duration::zero() : this->timing.batch_delay,
                     &feed_watch::watch);
}

void feed_watch::apply(const feed_page& page) {
    for (const auto& object : page.objects)
        this->receiver.change(object);
    this->revision = std::max(this->revision, page.revision);
    if (this->page_handler)
        this->page_handler(page, false);
}

bool feed_watch::apply_from_peer(const feed_page& page, helpers::duration peer_age) {
    if (!this->has_listed || this->needs_list || page.revision < this->revision ||
        peer_age > this->timing.max_peer_age)
        return false;
    if (!std::exchange(this->is_suspended, true)) {
        this->call.reset();
        this->loop.cancel(std::exchange(this->timer, 0));
    }
    this->on_success();
    this->last_contact = this->loop.time().now() - peer_age;
    this->apply(page);
    return true;
}

void feed_watch::watch_directly(helpers::duration wait) {
    this->timing.wait = std::max(wait, this->timing.min_wait);
    if (!std::exchange(this->is_suspended, false))
        return;
    this->call_after(helpers::duration::zero(), &feed_watch::watch);
}

void feed_watch::on_failure(const kernel::error& reason) {
    if (this->reachable || !this->has_listed)
        this->events.write(kernel::severity::warning, "feed.unreachable", std::nullopt,
                           {{"collection", std::string(to_string(this->kind))},
                            {"revision", this->revision},
                            {"reason", reason.detail}});
    if (std::exchange(this->reachable, false))
        this->receiver.on_source_lost();
    const auto wait = this->backoff;
    this->backoff = std::min(this->backoff * 2, this->timing.max_backoff);
    // Half of the backoff is random, so that gateways do not retry at the same time.
    const auto half = wait / 2;
    const auto jitter =
        std::chrono::duration_cast<helpers::duration>(half * this->random.fraction());
    this->call_after(half + jitter, this->needs_list ? &feed_watch::list : &feed_watch::watch);
}

void feed_watch::on_success() {
    this->backoff = this->timing.initial_backoff;
    this->last_contact = this->loop.time().now();
    if (std::exchange(this->reachable, true))
        return;
    this->events.write(
        kernel::severity::info, "feed.reachable", std::nullopt,
        {{"collection", std::string(to_string(this->kind))}, {"revision", this->revision}});
    this->receiver.on_source_regained();
}

void feed_watch::call_after(helpers::duration delay, void (feed_watch::*next)()) {
    this->loop.cancel(this->timer);
    this->timer = this->loop.schedule(delay, [this, next] {
        this->timer = 0;
        (this->*next)();
    });
}

} // namespace samphirespool::discovery
