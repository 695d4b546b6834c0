// Polls GET /load on the targets whose shards this router owns, with at most one poll per target in
// progress.
#pragma once

#include "admission/target_ledger.hpp"
#include "http/client.hpp"
#include "kernel/loop.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace samphirespool::router {

struct polled_target {
    helpers::target_id id;
    helpers::endpoint address;
};

struct parsed_load {
    admission::load_report report;
    // Incremented by the target with each new report; an unchanged generation means an old report.
    std::uint64_t generation = 0;
};

// Returns nullopt if the body is not a load report.
std::optional<parsed_load> parse_load(std::string_view body);

class load_poller {
public:
    // Returns the targets to poll.
    using target_source = std::function<std::vector<polled_target>()>;
    using report_handler =
        std::function<void(helpers::target_id target, const admission::load_report& report)>;

    static constexpr helpers::duration period = std::chrono::seconds(1);
    static constexpr helpers::duration timeout = std::chrono::seconds(2);

    load_poller(kernel::loop& loop, http::client& client, target_source targets,
                report_handler report_listener);
    ~load_poller();
    load_poller(const load_poller&) = delete;
    load_poller& operator=(const load_poller&) = delete;

    // Nullopt if no report of the target was received yet.
    std::optional<admission::load_report> last_report(helpers::target_id target) const;
    // Polls that failed, by timeout, connection error or status.
    std::uint64_t failures() const { return this->failed; }

private:
    class poll;
    struct stored_report {
        admission::load_report report;
        std::uint64_t generation = 0;
        // When a report of this generation was first received; its age counts from here.
        helpers::time_point first_received;
    };

    void tick();
    void store_report(helpers::target_id target, std::string_view body);
    void finish_poll(helpers::target_id target, bool success);

    kernel::loop& loop;
    http::client& client;
    target_source targets;
    report_handler report_listener;
    // Polls in progress.
    std::map<helpers::target_id, std::unique_ptr<poll>> polls;
    std::map<helpers::target_id, stored_report> reports;
    std::uint64_t failed = 0;
    kernel::timer_id timer = 0;
};

} // namespace samphirespool::router
