// Reservations, reports and the list of targets. Slow start of cold targets is in cold_ramp.cpp.
#include "admission/target_ledger.hpp"

#include <algorithm>

namespace samphirespool::admission {

void target_ledger::adjust_totals(const entry& tracked, std::int64_t sign) {
    if (!tracked.accepts_work())
        return;
    auto& tokens = tracked.warm ? this->totals.warm_tokens : this->totals.cold_tokens;
    auto& targets = tracked.warm ? this->totals.warm_targets : this->totals.cold_targets;
    tokens += static_cast<std::uint64_t>(sign) * tracked.tokens();
    targets += static_cast<std::uint32_t>(sign);
    if (!tracked.warm || !tracked.first_bytes.has_baseline())
        return;
    this->totals.first_bytes += static_cast<double>(sign) * tracked.first_bytes.recent();
    this->totals.first_byte_targets += static_cast<std::uint32_t>(sign);
}

const target_ledger::entry* target_ledger::find(helpers::target_id target) const {
    const auto found = this->entries.find(target);
    return found == this->entries.end() ? nullptr : &found->second;
}

target_ledger::entry* target_ledger::find(helpers::target_id target) {
    const auto found = this->entries.find(target);
    return found == this->entries.end() ? nullptr : &found->second;
}

void target_ledger::set_targets(std::span<const ledger_target> listed, helpers::time_point now) {
    for (auto& [id, existing] : this->entries)
        this->update(existing, [](entry& tracked) { tracked.listed = false; });
    for (const auto& target : listed) {
        this->update(this->entries[target.id], [&](entry& tracked) {
            const auto incarnation = std::max(target.incarnation, tracked.target.incarnation);
            const bool restarted = incarnation > tracked.target.incarnation;
            tracked.target = target;
            tracked.target.incarnation = incarnation;
            tracked.listed = true;
            if (!tracked.initialised || restarted)
                this->reset_incarnation(tracked, now);
            this->clamp_allowance(tracked);
        });
    }
    std::erase_if(this->entries, [](const auto& item) {
        return !item.second.listed && item.second.own_requests == 0;
    });
}

void target_ledger::set_slot_limit(helpers::target_id target, std::uint32_t slots) {
    if (auto* found = this->find(target))
        found->slot_limit = slots;
}

double target_ledger::mean_load() const {
    const auto warm = this->totals.warm_targets + this->peers.warm_targets;
    if (warm > 0)
        return static_cast<double>(this->totals.warm_tokens + this->peers.tokens) / warm;
    if (this->totals.cold_targets == 0)
        return 0;
    return static_cast<double>(this->totals.cold_tokens) / this->totals.cold_targets;
}

double target_ledger::bound(std::uint32_t cost_tokens) const {
    const auto warm = this->totals.warm_targets + this->peers.warm_targets;
    const auto targets = warm > 0 ? warm : this->totals.cold_targets;
    const auto share = targets > 0 ? static_cast<double>(cost_tokens) / targets : 0.0;
    return this->load_multiple * (this->mean_load() + share);
}

bool target_ledger::admits(const entry& candidate, std::uint32_t cost_tokens,
                           bool from_backlog) const {
    if (!candidate.accepts_work())
        return false;
    const auto slots = std::min(candidate.allowance, candidate.slot_limit);
    const auto reserved_slots = from_backlog ? slots / reserved_slots_divisor : 0;
    if (candidate.requests() >= slots - reserved_slots)
        return false;
    const auto load = candidate.tokens();
    return load == 0 || static_cast<double>(load) < this->bound(cost_tokens);
}

int target_ledger::cached_rank(const entry& candidate, const reservation_hints& hints) const {
    const auto incarnation = candidate.target.incarnation;
    if (this->history.ran_on(hints.conversation, candidate.target.id, incarnation))
        return 2;
    return this->history.ran_on(hints.key, candidate.target.id, incarnation) ? 1 : 0;
}

std::optional<helpers::target_id>
target_ledger::choose(std::span<const helpers::target_id> candidates, std::uint32_t cost_tokens,
                      const reservation_hints& hints) const {
    int best_possible = this->history.contains(hints.key) ? 1 : 0;
    if (this->history.contains(hints.conversation))
        best_possible = 2;
    const entry* best = nullptr;
    int best_rank = -1;
    for (const auto id : candidates) {
        const auto* candidate = this->find(id);
        if (candidate == nullptr || !this->admits(*candidate, cost_tokens, hints.from_backlog))
            continue;
        if (best_possible == 0)
            return id;
        const auto rank = this->cached_rank(*candidate, hints);
        const bool less_loaded =
            rank > 0 && rank == best_rank && candidate->tokens() < best->tokens();
        if (rank <= best_rank && !less_loaded)
            continue;
        best = candidate;
        best_rank = rank;
    }
    return best == nullptr ? std::nullopt : std::optional(best->target.id);
}

std::optional<helpers::target_id>
target_ledger::try_reserve(std::span<const helpers::target_id> candidates,
                           std::uint32_t cost_tokens, helpers::time_point now,
                           const reservation_hints& hints) {
    this->drop_expired_reports(now);
    const auto chosen = this->choose(candidates, cost_tokens, hints);
    if (!chosen)
        return std::nullopt;
    this->add_existing(*chosen, cost_tokens, now);
    const auto incarnation = this->find(*chosen)->target.incarnation;
    if (hints.key.value != 0)
        this->history.record(hints.key, *chosen, incarnation);
    if (hints.conversation.value != 0)
        this->history.record(hints.conversation, *chosen, incarnation);
    return chosen;
}

void target_ledger::add_existing(helpers::target_id target, std::uint32_t cost_tokens,
                                 helpers::time_point now) {
    auto& found = this->entries[target];
    found.target.id = target;
    this->update(found, [&](entry& tracked) {
        ++tracked.own_requests;
        tracked.own_tokens += cost_tokens;
    });
    this->update_peaks(found, now);
}

void target_ledger::finish(helpers::target_id target, std::uint32_t cost_tokens,
                           release::result result, helpers::duration first_byte,
                           helpers::time_point now) {
    auto* found = this->find(target);
    if (found == nullptr || found->own_requests == 0)
        return;
    this->update_peaks(*found, now);
    this->update(*found, [&](entry& tracked) {
        --tracked.own_requests;
        tracked.own_tokens -= std::min<std::uint64_t>(tracked.own_tokens, cost_tokens);
        if (tracked.own_requests == 0)
            tracked.own_tokens = 0;
        if (result == release::result::failure)
            this->record_failure(tracked, now);
        if (result == release::result::success)
            this->record_first_byte(tracked, cost_tokens, first_byte, now);
    });
    if (!found->listed && found->own_requests == 0)
        this->entries.erase(target);
}

void target_ledger::update_peaks(entry& tracked, helpers::time_point now) {
    if (now - tracked.peak_window_start >= 2 * report_max_age) {
        tracked.peak_requests = {};
        tracked.peak_tokens = {};
    } else if (now - tracked.peak_window_start >= report_max_age) {
        tracked.peak_requests = {0, tracked.peak_requests.current};
        tracked.peak_tokens = {0, tracked.peak_tokens.current};
    }
    if (now - tracked.peak_window_start >= report_max_age)
        tracked.peak_window_start = now;
    tracked.peak_requests.current =
        std::max<std::uint64_t>(tracked.peak_requests.current, tracked.own_requests);
    tracked.peak_tokens.current = std::max(tracked.peak_tokens.current, tracked.own_tokens);
}

void target_ledger::report(helpers::target_id target, const load_report& reported,
                           helpers::time_point now) {
    auto* found = this->find(target);
    if (found == nullptr || reported.age > report_max_age)
        return;
    if (reported.incarnation < found->target.incarnation)
        return;
    this->update_peaks(*found, now);
    this->update(*found, [&](entry& tracked) {
        if (reported.incarnation > tracked.target.incarnation) {
            tracked.target.incarnation = reported.incarnation;
            this->reset_incarnation(tracked, now);
        }
        const auto requests =
            std::max(tracked.peak_requests.current, tracked.peak_requests.previous);
        const auto tokens = std::max(tracked.peak_tokens.current, tracked.peak_tokens.previous);
        tracked.untracked_requests =
            reported.in_flight -
            static_cast<std::uint32_t>(std::min<std::uint64_t>(reported.in_flight, requests));
        tracked.untracked_tokens =
            tracked.untracked_requests == 0
                ? 0
                : reported.outstanding_tokens - std::min(reported.outstanding_tokens, tokens);
        tracked.untracked_until = now + report_validity - reported.age;
    });
}

void target_ledger::drop_expired_reports(helpers::time_point now) {
    if (now < this->next_report_sweep)
        return;
    this->next_report_sweep = now + std::chrono::seconds(1);
    for (auto& [id, existing] : this->entries) {
        if (existing.untracked_requests == 0 || existing.untracked_until > now)
            continue;
        this->update(existing, [](entry& tracked) {
            tracked.untracked_requests = 0;
            tracked.untracked_tokens = 0;
        });
    }
}

std::uint32_t target_ledger::allowance(helpers::target_id target) const {
    const auto* found = this->find(target);
    return found == nullptr ? 0 : found->allowance;
}

std::uint32_t target_ledger::capacity(helpers::target_id target, helpers::time_point) const {
    const auto* found = this->find(target);
    if (found == nullptr || !found->accepts_work())
        return 0;
    return std::min(found->allowance, found->slot_limit);
}

std::uint32_t target_ledger::in_flight(helpers::target_id target) const {
    const auto* found = this->find(target);
    return found == nullptr ? 0 : found->requests();
}

std::uint64_t target_ledger::outstanding_tokens(helpers::target_id target) const {
    const auto* found = this->find(target);
    return found == nullptr ? 0 : found->tokens();
}

bool target_ledger::warm(helpers::target_id target) const {
    const auto* found = this->find(target);
    return found != nullptr && found->warm;
}

peer_load target_ledger::own_load() const {
    return {this->totals.warm_tokens, this->totals.warm_targets};
}

} // namespace samphirespool::admission
