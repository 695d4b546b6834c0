// Requests that wait at the router they entered by: strict priorities, and within a priority
// start-time fair queueing over organisations by weight, so that a surge waits behind itself: the
// request with the smallest virtual start goes first, and an organisation's virtual time advances
// by the cost of its requests over its weight. An organisation that was quiet starts at the current
// virtual time, ahead of what others have waiting. Bounded in total and per organisation. A full
// queue makes room at the cost of the organisation that has most waiting. Nothing in the queue was
// sent, so whatever leaves it other than by pop() was not run.
#pragma once

#include "helpers/ids.hpp"
#include "helpers/time.hpp"
#include "kernel/error.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace samphirespool::admission {

struct queued_request {
    helpers::request_id request;
    helpers::organisation_id organisation;
    // 0 goes first.
    std::uint8_t priority = 1;
    std::uint32_t cost_tokens = 1;
    helpers::time_point deadline;
};

struct queue_limits {
    std::size_t total = 10'000;
    std::size_t per_organisation = 2'000;
};

struct push_result {
    bool accepted = false;
    // Why not: deadline_exceeded or queue_full.
    kernel::error_kind rejection = kernel::error_kind::queue_full;
    // The youngest request of the organisation with most waiting, which made room: it is answered
    // `queue_full`, not run.
    std::optional<queued_request> displaced;
};

class fair_queue {
public:
    static constexpr std::size_t priorities = 3;

    explicit fair_queue(queue_limits limits = {}) : limits(limits) {}

    // Weights from the preset in force; organisations not named have weight 1, and a weight of 0
    // counts as 1. Takes effect from the next turn of each organisation.
    void set_weights(std::unordered_map<helpers::organisation_id, std::uint32_t> wanted);

    push_result push(const queued_request& request, helpers::time_point now);

    // Takes the request whose turn it is, passing over organisations that may not run now (over
    // their limit). may_run may be asked about the same organisation again after `false`; after
    // `true` its request is the one returned. Expired requests are not sorted out: call expire()
    // first.
    std::optional<queued_request>
    pop(const std::function<bool(helpers::organisation_id)>& may_run = {});

    // Removes and appends every request whose deadline has passed.
    void expire(helpers::time_point now, std::vector<queued_request>& expired);

    // Removes the request of a caller who left. False if it is not waiting.
    bool cancel(const helpers::request_id& request);

    std::optional<helpers::time_point> next_deadline() const;
    std::size_t size() const { return this->index.size(); }
    std::size_t size(helpers::organisation_id organisation) const;

private:
    // Virtual time of one token at weight 1.
    static constexpr std::uint64_t token_time = 1024;

    struct organisation_queue {
        std::list<queued_request> waiting;
        // Virtual start of the first waiting request; of the next one if none waits.
        std::uint64_t start = 0;
        // Number of the push that made the organisation active; breaks ties between starts.
        std::uint64_t order = 0;
    };

    struct turn {
        std::uint64_t start = 0;
        std::uint64_t order = 0;
        helpers::organisation_id organisation;

        friend auto operator<=>(const turn&, const turn&) = default;
    };

    // One priority. Invariant: an organisation is in `active` if it has requests waiting, else in
    // `idle` with the virtual time until which it is remembered.
    struct level {
        std::unordered_map<helpers::organisation_id, organisation_queue> queues;
        std::set<turn> active;
        std::set<turn> idle;
        // Invariant: never decreases.
        std::uint64_t virtual_time = 0;
    };

    struct place {
        std::size_t priority = 0;
        std::list<queued_request>::iterator request;
    };

    std::uint32_t weight_of(helpers::organisation_id organisation) const;
    std::optional<queued_request>
    pop_from(std::size_t priority, const std::function<bool(helpers::organisation_id)>& may_run);
    void forget_idle(level& of);
    static void move_turn(level& of, const turn& from, std::uint64_t start);
    queued_request remove(const place& at);
    void count(helpers::organisation_id organisation, int change);
    queued_request take_youngest(helpers::organisation_id organisation);

    queue_limits limits;
    std::array<level, priorities> levels;
    std::unordered_map<helpers::organisation_id, std::uint32_t> weights;
    // Invariant: one entry per waiting request.
    std::unordered_map<helpers::request_id, place> index;
    std::uint64_t pushes = 0;
    // Invariant: one entry per waiting request.
    std::set<std::pair<helpers::time_point, helpers::request_id>> deadlines;
    // Invariant: the number waiting of each organisation with any, in both directions.
    std::unordered_map<helpers::organisation_id, std::size_t> sizes;
    std::set<std::pair<std::size_t, helpers::organisation_id>> by_size;
};

} // namespace samphirespool::admission
