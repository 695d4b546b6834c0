// The cycle of list and watch calls.
#include "discovery/feed_watch.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace samphirespool::discovery {

std::string_view to_string(collection which) {
    constexpr std::array<std::string_view, 4> names{"configuration", "targets", "departures",
                                                    "members"};
    return names.at(static_cast<std::size_t>(which));
}

feed_watch::feed_watch(kernel::loop& loop, kernel::random_source& random,
                       kernel::event_sink& events, feed_source& source, feed_receiver& receiver,
                       collection which, const watch_timing& timing)
    : loop(loop),
      random(random),
      events(events),
      source(source),
      receiver(receiver),
      which(which),
      timing(timing),
      pause(timing.first_pause) {}

feed_watch::~feed_watch() {
    this->loop.cancel(this->timer);
}

void feed_watch::start() {
    this->list();
}

void feed_watch::list() {
    const auto after = this->partial.empty() ? std::string() : this->partial.back().name;
    this->call = this->source.list(this->which, after, [this](feed_answer answer) {
        this->finished = std::move(this->call);
        this->on_listed(std::move(answer));
    });
}

void feed_watch::watch() {
    this->call = this->source.watch(this->which, this->revision, this->timing.wait,
                                    [this](feed_answer answer) {
                                        this->finished = std::move(this->call);
                                        this->on_watched(std::move(answer));
                                    });
}

void feed_watch::on_listed(feed_answer answer) {
    auto* page = std::get_if<feed_page>(&answer);
    if (page == nullptr) {
        const auto* reason = std::get_if<kernel::error>(&answer);
        this->partial.clear();
        this->on_failure(reason != nullptr ? *reason : kernel::error{});
        return;
    }
    this->on_success();
    // Changes made while later pages are read are watched from the first page on.
    if (this->partial.empty())
        this->revision = page->revision;
    std::move(page->objects.begin(), page->objects.end(), std::back_inserter(this->partial));
    if (page->more && !page->objects.empty()) {
        this->after(helpers::duration::zero(), &feed_watch::list);
        return;
    }
    const auto objects = std::exchange(this->partial, {});
    this->must_list = false;
    this->loaded = true;
    this->receiver.replace(objects);
    if (this->page_task) {
        feed_page whole;
        whole.revision = this->revision;
        this->page_task(whole, true);
    }
    this->after(helpers::duration::zero(), &feed_watch::watch);
}

void feed_watch::on_watched(feed_answer answer) {
    if (const auto* reason = std::get_if<kernel::error>(&answer)) {
        this->on_failure(*reason);
        return;
    }
    this->on_success();
    if (std::holds_alternative<history_lost>(answer)) {
        this->events.write(
            kernel::severity::warning, "feed.history_lost", std::nullopt,
            {{"collection", std::string(to_string(this->which))}, {"revision", this->revision}});
        this->must_list = true;
        this->after(helpers::duration::zero(), &feed_watch::list);
        return;
    }
    const auto& page = std::get<feed_page>(answer);
    this->apply(page);
    this->after(page.objects.empty() ? helpers::duration::zero() : this->timing.gather,
                &feed_watch::watch);
}

void feed_watch::apply(const feed_page& page) {
    for (const auto& object : page.objects)
        this->receiver.change(object);
    this->revision = std::max(this->revision, page.revision);
    if (this->page_task)
        this->page_task(page, false);
}

bool feed_watch::take_from_peer(const feed_page& page, helpers::duration peer_age) {
    if (!this->loaded || this->must_list || page.revision < this->revision ||
        peer_age > this->timing.max_peer_age)
        return false;
    if (!std::exchange(this->is_resting, true)) {
        this->call.reset();
        this->loop.cancel(std::exchange(this->timer, 0));
    }
    this->on_success();
    this->last_heard = this->loop.time().now() - peer_age;
    this->apply(page);
    return true;
}

void feed_watch::ask_directly(helpers::duration wait) {
    this->timing.wait = std::max(wait, this->timing.least_wait);
    if (!std::exchange(this->is_resting, false))
        return;
    this->after(helpers::duration::zero(), &feed_watch::watch);
}

void feed_watch::on_failure(const kernel::error& reason) {
    if (this->reachable || !this->loaded)
        this->events.write(kernel::severity::warning, "feed.unreachable", std::nullopt,
                           {{"collection", std::string(to_string(this->which))},
                            {"revision", this->revision},
                            {"reason", reason.detail}});
    if (std::exchange(this->reachable, false))
        this->receiver.lost();
    const auto wait = this->pause;
    this->pause = std::min(this->pause * 2, this->timing.last_pause);
    // Half of the pause is random, so that gateways do not come back together.
    const auto half = wait / 2;
    const auto jitter =
        std::chrono::duration_cast<helpers::duration>(half * this->random.fraction());
    this->after(half + jitter, this->must_list ? &feed_watch::list : &feed_watch::watch);
}

void feed_watch::on_success() {
    this->pause = this->timing.first_pause;
    this->last_heard = this->loop.time().now();
    if (std::exchange(this->reachable, true))
        return;
    this->events.write(
        kernel::severity::info, "feed.reachable", std::nullopt,
        {{"collection", std::string(to_string(this->which))}, {"revision", this->revision}});
    this->receiver.regained();
}

void feed_watch::after(helpers::duration delay, void (feed_watch::*next)()) {
    this->loop.cancel(this->timer);
    this->timer = this->loop.schedule(delay, [this, next] {
        this->timer = 0;
        (this->*next)();
    });
}

} // namespace samphirespool::discovery
