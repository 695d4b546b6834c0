// Property tests: random event sequences through the ledger, the request state machine and the fair
// queue, with a fixed seed.
#include "admission/fair_queue.hpp"
#include "admission/target_ledger.hpp"
#include "request/request_state.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>

using namespace samphirespool;
using namespace std::chrono_literals;
using release_result = admission::release::result;

namespace {

// The environment may set other parameters; without it runs are the same everywhere. All property
// tests set the same value, because the first one applies to the whole process.
const int seed_is_fixed = setenv("RC_PARAMS", "seed=20", 0);

constexpr int longest_sequence = 600;
using event_sequence = std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint16_t>>;

event_sequence any_events() {
    return *rc::gen::resize(longest_sequence, rc::gen::arbitrary<event_sequence>());
}

constexpr std::uint64_t target_count = 6;
constexpr std::uint32_t warm_capacity = 16;
constexpr std::uint32_t cold_allowance = 2;
constexpr double multiple = 1.25;

// The ledger and a simple reference account of the same events.
class ledger_model {
public:
    ledger_model() {
        for (std::uint64_t i = 1; i <= target_count; ++i)
            this->listed.push_back({{i}, 1, warm_capacity, cold_allowance, true});
        this->ledger.set_targets(this->listed, this->now);
    }

    void step(std::uint32_t choice, std::uint64_t subject, std::uint32_t size) {
        using action = void (ledger_model::*)(std::uint64_t, std::uint32_t);
        static constexpr std::array<action, 12> actions{
            &ledger_model::reserve,      &ledger_model::reserve, &ledger_model::reserve,
            &ledger_model::reserve,      &ledger_model::succeed, &ledger_model::succeed,
            &ledger_model::succeed,      &ledger_model::fail,    &ledger_model::restart,
            &ledger_model::set_eligible, &ledger_model::report,  &ledger_model::pass_time,
        };
        (this->*actions[choice % actions.size()])(subject, size);
        this->check_accounts();
    }

private:
    struct work {
        helpers::target_id target;
        std::uint32_t cost = 0;
    };

    admission::ledger_target& at(std::uint64_t subject) {
        return this->listed[subject % target_count];
    }

    void reserve(std::uint64_t subject, std::uint32_t size) {
        std::vector<helpers::target_id> candidates;
        for (std::uint64_t i = 0; i < 1 + subject % target_count; ++i)
            candidates.push_back(this->at(subject + i).id);
        const auto cost = 1 + size % 5000;
        const auto before = this->loads();
        const auto allowance = this->allowances();
        const auto in_flight = this->counts();
        const auto bound = this->bound_with(cost, before);
        const auto chosen = this->ledger.try_reserve(candidates, cost, this->now);
        if (!chosen)
            return;
        RC_ASSERT(this->at(chosen->value - 1).eligible);
        const auto load = before.at(*chosen);
        RC_ASSERT(load == 0 || static_cast<double>(load) < bound);
        RC_ASSERT(in_flight.at(*chosen) < allowance.at(*chosen));
        this->running.push_back({*chosen, cost});
    }

    void end(std::uint64_t subject, release_result how) {
        if (this->running.empty())
            return;
        const auto index = subject % this->running.size();
        const auto ended = this->running[index];
        this->running.erase(this->running.begin() + static_cast<std::ptrdiff_t>(index));
        const auto allowed = this->ledger.allowance(ended.target);
        this->ledger.finish(ended.target, ended.cost, how, 100ms, this->now);
        const auto after = this->ledger.allowance(ended.target);
        // A success at most doubles a target's allowance, and a failure never raises it.
        RC_ASSERT(after <= (how == release_result::success ? 2 * allowed : allowed));
    }

    void succeed(std::uint64_t subject, std::uint32_t) {
        this->end(subject, release_result::success);
    }
    void fail(std::uint64_t subject, std::uint32_t) { this->end(subject, release_result::failure); }

    void restart(std::uint64_t subject, std::uint32_t) {
        ++this->at(subject).incarnation;
        this->ledger.set_targets(this->listed, this->now);
        RC_ASSERT(this->ledger.allowance(this->at(subject).id) <= cold_allowance);
    }

    void set_eligible(std::uint64_t subject, std::uint32_t size) {
        this->at(subject).eligible = size % 3 != 0;
        this->ledger.set_targets(this->listed, this->now);
    }

    // Stale lives and exaggerated counts included.
    void report(std::uint64_t subject, std::uint32_t size) {
        const auto& target = this->at(subject);
        const auto life =
            target.incarnation - std::min<std::uint64_t>(target.incarnation, size % 2);
        this->ledger.report(target.id,
                            {life, size % 20, size % 20 * 1000ULL, std::chrono::seconds(size % 8)},
                            this->now);
    }

    void pass_time(std::uint64_t, std::uint32_t size) {
        this->now += std::chrono::milliseconds(size % 4000);
    }

    std::map<helpers::target_id, std::uint64_t> loads() {
        // An empty attempt lets the ledger drop reports that have lapsed by now.
        this->ledger.try_reserve({}, 1, this->now);
        std::map<helpers::target_id, std::uint64_t> result;
        for (const auto& target : this->listed)
            result[target.id] = this->ledger.outstanding_tokens(target.id);
        return result;
    }

    std::map<helpers::target_id, std::uint32_t> allowances() const {
        std::map<helpers::target_id, std::uint32_t> result;
        for (const auto& target : this->listed)
            result[target.id] = this->ledger.allowance(target.id);
        return result;
    }

    std::map<helpers::target_id, std::uint32_t> counts() const {
        std::map<helpers::target_id, std::uint32_t> result;
        for (const auto& target : this->listed)
            result[target.id] = this->ledger.in_flight(target.id);
        return result;
    }

    // The documented bound, computed without the ledger's running sums.
    double bound_with(std::uint32_t cost,
                      const std::map<helpers::target_id, std::uint64_t>& loads) {
        double warm = 0;
        double warm_load = 0;
        double open = 0;
        double open_load = 0;
        for (const auto& target : this->listed) {
            if (!target.eligible)
                continue;
            const auto load = static_cast<double>(loads.at(target.id));
            open += 1;
            open_load += load;
            warm += this->ledger.warm(target.id) ? 1 : 0;
            warm_load += this->ledger.warm(target.id) ? load : 0;
        }
        if (warm > 0)
            return multiple * (warm_load + cost) / warm;
        return open > 0 ? multiple * (open_load + cost) / open : 0;
    }

    void check_accounts() {
        std::map<helpers::target_id, std::uint64_t> own;
        for (const auto& each : this->running)
            own[each.target] += each.cost;
        for (const auto& target : this->listed) {
            RC_ASSERT(this->ledger.outstanding_tokens(target.id) >= own[target.id]);
            RC_ASSERT(this->ledger.capacity(target.id, this->now) <= warm_capacity);
            RC_ASSERT(target.eligible || this->ledger.capacity(target.id, this->now) == 0);
        }
    }

    admission::target_ledger ledger{multiple};
    std::vector<admission::ledger_target> listed;
    std::vector<work> running;
    helpers::time_point now{1h};
};

// Random events for one request's state machine, valid in its phase or not.
class request_model {
public:
    explicit request_model(const request::request_traits& traits) : state(traits, this->budget) {}

    void step(std::uint32_t choice, std::uint64_t subject, std::uint32_t size) {
        using report = request::decision (request_model::*)(std::uint64_t, std::uint32_t);
        static constexpr std::array<report, 15> reports{
            &request_model::dequeue,      &request_model::claim,
            &request_model::grant,        &request_model::grant,
            &request_model::connect,      &request_model::connect,
            &request_model::fail_connect, &request_model::fail,
            &request_model::forward_part, &request_model::break_stream,
            &request_model::resume,       &request_model::complete,
            &request_model::pass_time,    &request_model::abort_request,
            &request_model::grant,
        };
        this->check((this->*reports[choice % reports.size()])(subject, size));
    }

    // Aborts the request if it has no outcome yet.
    void end() {
        this->check(this->state.abort(kernel::error_kind::deadline_exceeded));
        RC_ASSERT(this->outcomes == 1);
        RC_ASSERT(this->state.traits().idempotent || this->sends + this->resumes <= 1);
        RC_ASSERT(this->sends <= 3);
        RC_ASSERT(this->resumes <= this->state.traits().max_resumes);
    }

private:
    void check(const request::decision& made) {
        const bool is_resume = made.next == request::action::resume ||
                               this->state.current_phase() == request::phase::resuming;
        if (made.next == request::action::send || made.next == request::action::resume)
            ++(is_resume ? this->resumes : this->sends);
        if (made.next != request::action::finish)
            return;
        ++this->outcomes;
        const bool not_run = made.outcome == kernel::request_outcome::not_run;
        RC_ASSERT(not_run == (this->sends == 0));
    }

    request::decision dequeue(std::uint64_t, std::uint32_t) {
        return this->state.on_dequeued(this->now);
    }

    request::decision claim(std::uint64_t, std::uint32_t size) {
        return this->state.on_claim_acquired(this->now + std::chrono::milliseconds(size % 1000),
                                             this->now);
    }

    request::decision grant(std::uint64_t subject, std::uint32_t size) {
        const helpers::target_id target{subject % 5};
        const bool used = !this->state.may_use(target);
        const auto made =
            this->state.on_granted(target, this->now + std::chrono::milliseconds(size % 500));
        // A target is never used twice.
        RC_ASSERT(made.next != request::action::connect || !used);
        return made;
    }

    request::decision connect(std::uint64_t, std::uint32_t) {
        return this->state.on_connected(this->now);
    }

    request::decision fail_connect(std::uint64_t, std::uint32_t) {
        return this->state.on_connect_failed(this->now);
    }

    request::decision fail(std::uint64_t, std::uint32_t size) {
        const auto made = this->state.on_attempt_failed(size % 2 == 0, this->now);
        const bool again = made.next == request::action::reserve;
        RC_ASSERT(!again || (this->state.traits().idempotent && !this->forwarded));
        return made;
    }

    request::decision forward_part(std::uint64_t, std::uint32_t) {
        this->forwarded = this->forwarded || this->state.current_phase() == request::phase::sent;
        return this->state.on_forwarded(1);
    }

    request::decision break_stream(std::uint64_t, std::uint32_t) {
        const auto made = this->state.on_stream_broken(this->now);
        RC_ASSERT(made.next != request::action::resume || this->state.traits().resumable);
        return made;
    }

    request::decision resume(std::uint64_t, std::uint32_t) { return this->state.on_resumed(); }

    request::decision complete(std::uint64_t, std::uint32_t size) {
        return size % 8 == 0 ? this->state.on_completed() : request::decision{};
    }

    request::decision pass_time(std::uint64_t, std::uint32_t size) {
        this->now += std::chrono::milliseconds(size % 700);
        return {};
    }

    request::decision abort_request(std::uint64_t, std::uint32_t size) {
        return size % 8 == 0 ? this->state.abort(kernel::error_kind::no_target)
                             : request::decision{};
    }

    request::retry_budget budget;
    request::request_state state;
    helpers::time_point now{};
    int outcomes = 0;
    std::uint32_t sends = 0;
    // Resumes sent for the rest of a broken stream.
    std::uint32_t resumes = 0;
    bool forwarded = false;
};

} // namespace

TEST_CASE("property: the bound and the cold allowance hold over any sequence of events") {
    CHECK(seed_is_fixed == 0);
    CHECK(rc::check([] {
        ledger_model model;
        for (const auto& [choice, subject, size] : any_events())
            model.step(choice, subject, size);
    }));
}

TEST_CASE(
    "property: every request gets exactly one outcome, and 'not run' exactly if nothing was sent") {
    CHECK(rc::check([](bool idempotent, bool claims, bool resumable) {
        request_model model({idempotent, claims, resumable, resumable, helpers::time_point(10s)});
        for (const auto& [choice, subject, size] : any_events())
            model.step(choice, subject, size);
        model.end();
    }));
}

TEST_CASE("property: the fair queue never loses, duplicates or reorders a request") {
    CHECK(rc::check([] {
        admission::fair_queue queue({40, 15});
        std::map<std::uint64_t, std::uint64_t> last_popped;
        std::uint64_t pushed = 0;
        std::uint64_t left = 0;
        helpers::time_point now{1h};
        std::vector<admission::queued_request> expired;
        for (const auto& [choice, organisation, size] : any_events()) {
            admission::queued_request request;
            if (choice % 4 < 2) {
                request.request.sequence = ++pushed;
                request.organisation = {organisation % 5U};
                request.cost_tokens = size;
                request.deadline = now + std::chrono::milliseconds(size);
                const auto result = queue.push(request, now);
                left += result.accepted ? 0 : 1;
                left += result.displaced ? 1 : 0;
            } else if (choice % 4 == 2) {
                if (const auto popped = queue.pop()) {
                    auto& last = last_popped[popped->organisation.value];
                    RC_ASSERT(popped->request.sequence > last);
                    last = popped->request.sequence;
                    ++left;
                }
            } else {
                now += std::chrono::milliseconds(size % 200);
                expired.clear();
                queue.expire(now, expired);
                left += expired.size();
                request.request.sequence = 1 + size % (pushed + 1);
                left += queue.cancel(request.request) ? 1 : 0;
            }
            RC_ASSERT(queue.size() + left == pushed);
            RC_ASSERT(queue.size() <= 40U);
        }
    }));
}
