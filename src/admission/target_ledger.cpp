// Admission, reports and the list of targets. The cold ramp is in cold_ramp.cpp.
#include "admission/target_ledger.hpp"

#include <algorithm>

namespace samphirespool::admission {

void target_ledger::count(const entry& counted, std::int64_t sign) {
    if (!counted.open())
        return;
    auto& tokens = counted.warm ? this->totals.warm_tokens : this->totals.cold_tokens;
    auto& targets = counted.warm ? this->totals.warm_targets : this->totals.cold_targets;
    tokens += static_cast<std::uint64_t>(sign) * counted.tokens();
    targets += static_cast<std::uint32_t>(sign);
    if (!counted.warm || !counted.first_bytes.known())
        return;
    this->totals.first_bytes += static_cast<double>(sign) * counted.first_bytes.recent();
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
    for (auto& [id, known] : this->entries)
        this->changing(known, [](entry& changed) { changed.listed = false; });
    for (const auto& target : listed) {
        this->changing(this->entries[target.id], [&](entry& changed) {
            const auto incarnation = std::max(target.incarnation, changed.target.incarnation);
            const bool restarted = incarnation > changed.target.incarnation;
            changed.target = target;
            changed.target.incarnation = incarnation;
            changed.listed = true;
            if (!changed.started || restarted)
                this->start(changed, now);
            this->fit_allowance(changed);
        });
    }
    std::erase_if(this->entries, [](const auto& item) {
        return !item.second.listed && item.second.own_requests == 0;
    });
}

void target_ledger::set_slot_limit(helpers::target_id target, std::uint32_t slots) {
    if (auto* known = this->find(target))
        known->slot_limit = slots;
}

double target_ledger::mean_load() const {
    const auto warm = this->totals.warm_targets + this->outside.warm_targets;
    if (warm > 0)
        return static_cast<double>(this->totals.warm_tokens + this->outside.tokens) / warm;
    if (this->totals.cold_targets == 0)
        return 0;
    return static_cast<double>(this->totals.cold_tokens) / this->totals.cold_targets;
}

double target_ledger::bound(std::uint32_t cost_tokens) const {
    const auto warm = this->totals.warm_targets + this->outside.warm_targets;
    const auto targets = warm > 0 ? warm : this->totals.cold_targets;
    const auto share = targets > 0 ? static_cast<double>(cost_tokens) / targets : 0.0;
    return this->load_multiple * (this->mean_load() + share);
}

bool target_ledger::admits(const entry& candidate, std::uint32_t cost_tokens,
                           bool from_backlog) const {
    if (!candidate.open())
        return false;
    const auto slots = std::min(candidate.allowance, candidate.slot_limit);
    const auto kept = from_backlog ? slots / kept_slots_divisor : 0;
    if (candidate.requests() >= slots - kept)
        return false;
    const auto load = candidate.tokens();
    return load == 0 || static_cast<double>(load) < this->bound(cost_tokens);
}

int target_ledger::cached_rank(const entry& candidate, const reservation_hints& hints) const {
    const auto life = candidate.target.incarnation;
    if (this->memory.ran_on(hints.conversation, candidate.target.id, life))
        return 2;
    return this->memory.ran_on(hints.key, candidate.target.id, life) ? 1 : 0;
}

std::optional<helpers::target_id>
target_ledger::choose(std::span<const helpers::target_id> candidates, std::uint32_t cost_tokens,
                      const reservation_hints& hints) const {
    int best_possible = this->memory.knows(hints.key) ? 1 : 0;
    if (this->memory.knows(hints.conversation))
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
        const bool lighter = rank > 0 && rank == best_rank && candidate->tokens() < best->tokens();
        if (rank <= best_rank && !lighter)
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
    this->drop_old_reports(now);
    const auto chosen = this->choose(candidates, cost_tokens, hints);
    if (!chosen)
        return std::nullopt;
    this->add_existing(*chosen, cost_tokens, now);
    const auto life = this->find(*chosen)->target.incarnation;
    if (hints.key.value != 0)
        this->memory.note(hints.key, *chosen, life);
    if (hints.conversation.value != 0)
        this->memory.note(hints.conversation, *chosen, life);
    return chosen;
}

void target_ledger::add_existing(helpers::target_id target, std::uint32_t cost_tokens,
                                 helpers::time_point now) {
    auto& known = this->entries[target];
    known.target.id = target;
    this->changing(known, [&](entry& changed) {
        ++changed.own_requests;
        changed.own_tokens += cost_tokens;
    });
    this->note_peak(known, now);
}

void target_ledger::finish(helpers::target_id target, std::uint32_t cost_tokens,
                           release::result how, helpers::duration first_byte,
                           helpers::time_point now) {
    auto* known = this->find(target);
    if (known == nullptr || known->own_requests == 0)
        return;
    this->note_peak(*known, now);
    this->changing(*known, [&](entry& changed) {
        --changed.own_requests;
        changed.own_tokens -= std::min<std::uint64_t>(changed.own_tokens, cost_tokens);
        if (changed.own_requests == 0)
            changed.own_tokens = 0;
        if (how == release::result::failure)
            this->learn_failure(changed, now);
        if (how == release::result::success)
            this->learn_first_byte(changed, cost_tokens, first_byte, now);
    });
    if (!known->listed && known->own_requests == 0)
        this->entries.erase(target);
}

void target_ledger::note_peak(entry& noted, helpers::time_point now) {
    if (now - noted.peak_window_start >= 2 * report_max_age) {
        noted.peak_requests = {};
        noted.peak_tokens = {};
    } else if (now - noted.peak_window_start >= report_max_age) {
        noted.peak_requests = {0, noted.peak_requests.current};
        noted.peak_tokens = {0, noted.peak_tokens.current};
    }
    if (now - noted.peak_window_start >= report_max_age)
        noted.peak_window_start = now;
    noted.peak_requests.current =
        std::max<std::uint64_t>(noted.peak_requests.current, noted.own_requests);
    noted.peak_tokens.current = std::max(noted.peak_tokens.current, noted.own_tokens);
}

void target_ledger::report(helpers::target_id target, const load_report& reported,
                           helpers::time_point now) {
    auto* known = this->find(target);
    if (known == nullptr || reported.age > report_max_age)
        return;
    if (reported.incarnation < known->target.incarnation)
        return;
    this->note_peak(*known, now);
    this->changing(*known, [&](entry& changed) {
        if (reported.incarnation > changed.target.incarnation) {
            changed.target.incarnation = reported.incarnation;
            this->start(changed, now);
        }
        const auto requests =
            std::max(changed.peak_requests.current, changed.peak_requests.previous);
        const auto tokens = std::max(changed.peak_tokens.current, changed.peak_tokens.previous);
        changed.foreign_requests =
            reported.in_flight -
            static_cast<std::uint32_t>(std::min<std::uint64_t>(reported.in_flight, requests));
        changed.foreign_tokens =
            changed.foreign_requests == 0
                ? 0
                : reported.outstanding_tokens - std::min(reported.outstanding_tokens, tokens);
        changed.foreign_until = now + report_validity - reported.age;
    });
}

void target_ledger::drop_old_reports(helpers::time_point now) {
    if (now < this->next_report_sweep)
        return;
    this->next_report_sweep = now + std::chrono::seconds(1);
    for (auto& [id, known] : this->entries) {
        if (known.foreign_requests == 0 || known.foreign_until > now)
            continue;
        this->changing(known, [](entry& changed) {
            changed.foreign_requests = 0;
            changed.foreign_tokens = 0;
        });
    }
}

std::uint32_t target_ledger::allowance(helpers::target_id target) const {
    const auto* known = this->find(target);
    return known == nullptr ? 0 : known->allowance;
}

std::uint32_t target_ledger::capacity(helpers::target_id target, helpers::time_point) const {
    const auto* known = this->find(target);
    if (known == nullptr || !known->open())
        return 0;
    return std::min(known->allowance, known->slot_limit);
}

std::uint32_t target_ledger::in_flight(helpers::target_id target) const {
    const auto* known = this->find(target);
    return known == nullptr ? 0 : known->requests();
}

std::uint64_t target_ledger::outstanding_tokens(helpers::target_id target) const {
    const auto* known = this->find(target);
    return known == nullptr ? 0 : known->tokens();
}

bool target_ledger::warm(helpers::target_id target) const {
    const auto* known = this->find(target);
    return known != nullptr && known->warm;
}

peer_load target_ledger::own_load() const {
    return {this->totals.warm_tokens, this->totals.warm_targets};
}

} // namespace samphirespool::admission
