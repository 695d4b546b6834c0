// Queue of the requests that wait at the router that accepted them. Priorities are strict. Within a
// priority, organisations share by weight through start-time fair queueing: the request with the
// smallest virtual start is dispatched first, and an organisation's next virtual start advances by
// the cost of its request divided by its weight. A surge of one organisation therefore delays only
// that organisation; an organisation that was idle starts at the current virtual time, ahead of the
// backlog of the others. The queue is bounded in total and per organisation; when it is full, it
// displaces a request of the organisation with the longest backlog. Queued requests were not sent
// to a target, so every request removed other than by pop() was not run.
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
    // 0 is the most urgent.
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
    // If not accepted: deadline_exceeded or queue_full.
    kernel::error_kind rejection = kernel::error_kind::queue_full;
    // The newest request of the organisation with the longest backlog, removed to make room. The
    // caller of push() fails it with `queue_full`; it was not run.
    std::optional<queued_request> displaced;
};

class fair_queue {
public:
    static constexpr std::size_t priorities = 3;

    explicit fair_queue(queue_limits limits = {}) : limits(limits) {}

    // Sets the weights of the preset in force. Organisations that are not listed have weight 1, and
    // a weight of 0 counts as 1. Applies from the next dispatched request of each organisation.
    void set_weights(std::unordered_map<helpers::organisation_id, std::uint32_t> new_weights);

    // Enqueues a request. Rejects it if its deadline has passed, its id is queued already, its
    // organisation has reached its limit, or the queue is full and no other organisation has a
    // longer backlog.
    push_result push(const queued_request& request, helpers::time_point now);

    // Removes and returns the next request, skipping organisations for which is_allowed() returns
    // false (those over their limit). is_allowed() may be called again for an organisation after it
    // returned false; after it returned true, that organisation's request is the result. Does not
    // filter out expired requests: call expire() first.
    std::optional<queued_request>
    pop(const std::function<bool(helpers::organisation_id)>& is_allowed = {});

    // Removes every request whose deadline has passed and appends it to `expired`.
    void expire(helpers::time_point now, std::vector<queued_request>& expired);

    // Removes the request of a caller that disconnected. Returns false if it is not queued.
    bool cancel(const helpers::request_id& request);

    std::optional<helpers::time_point> next_deadline() const;
    std::size_t size() const { return this->index.size(); }
    std::size_t size(helpers::organisation_id organisation) const;

private:
    // Virtual time that one token costs at weight 1.
    static constexpr std::uint64_t virtual_time_per_token = 1024;

    struct organisation_queue {
        std::list<queued_request> waiting;
        // Virtual start of the first waiting request, or of the next one if none is waiting.
        std::uint64_t start = 0;
        // Number of the push that made the organisation active; breaks ties between equal starts.
        std::uint64_t order = 0;
    };

    struct schedule_entry {
        std::uint64_t start = 0;
        std::uint64_t order = 0;
        helpers::organisation_id organisation;

        friend auto operator<=>(const schedule_entry&, const schedule_entry&) = default;
    };

    // State of one priority. Invariant: an organisation is in `active` if it has requests waiting;
    // otherwise in `idle`, and it is dropped once virtual_time has reached its start.
    struct priority_level {
        std::unordered_map<helpers::organisation_id, organisation_queue> queues;
        std::set<schedule_entry> active;
        std::set<schedule_entry> idle;
        // Invariant: never decreases.
        std::uint64_t virtual_time = 0;
    };

    struct queue_position {
        std::size_t priority = 0;
        std::list<queued_request>::iterator request;
    };

    std::uint32_t weight_of(helpers::organisation_id organisation) const;
    std::optional<queued_request>
    pop_from(std::size_t priority, const std::function<bool(helpers::organisation_id)>& is_allowed);
    void drop_idle(priority_level& level);
    static void raise_start(priority_level& level, const schedule_entry& entry,
                            std::uint64_t start);
    queued_request remove(const queue_position& position);
    void adjust_size(helpers::organisation_id organisation, int change);
    queued_request remove_youngest(helpers::organisation_id organisation);

    queue_limits limits;
    std::array<priority_level, priorities> levels;
    std::unordered_map<helpers::organisation_id, std::uint32_t> weights;
    // Invariant: one entry per waiting request.
    std::unordered_map<helpers::request_id, queue_position> index;
    std::uint64_t activations = 0;
    // Invariant: one entry per waiting request.
    std::set<std::pair<helpers::time_point, helpers::request_id>> deadlines;
    // Invariant: number of waiting requests of each organisation that has any; by_size is the same
    // data ordered by that number.
    std::unordered_map<helpers::organisation_id, std::size_t> sizes;
    std::set<std::pair<std::size_t, helpers::organisation_id>> by_size;
};

} // namespace samphirespool::admission
