// One gateway's part in the exchange. It reports to the hub of its group, or is the hub. The hubs
// tell each other the sums of their groups, and the first of them asks the source of the feeds for
// the whole fleet. While those above a gateway answer and are in touch with the source, it takes
// the feeds' news from them; otherwise it asks the source itself, so that none depends on another.
#pragma once

#include "discovery/feed_watch.hpp"
#include "exchange/absence_watch.hpp"
#include "exchange/exchange_link.hpp"
#include "exchange/feed_log.hpp"
#include "exchange/hub_order.hpp"
#include "exchange/load_board.hpp"
#include "kernel/event.hpp"
#include "kernel/loop.hpp"

#include <array>
#include <functional>
#include <optional>
#include <unordered_map>

namespace samphirespool::exchange {

struct exchange_timing {
    // Between reports. Requests last from tens of milliseconds to seconds.
    helpers::duration interval = std::chrono::milliseconds(100);
    // Answers that list more targets come more rarely: 16 KB/s at 16 bytes each, of 22 that a node
    // may use at the size to design for.
    helpers::duration interval_per_target = std::chrono::milliseconds(1);
    // The busiest targets, and those that fail; the others are far from any bound.
    std::size_t most_listed = 150;
    // Sums are added up again no sooner.
    helpers::duration sum_interval = std::chrono::milliseconds(40);
    // An upstream gateway that has not answered for this long, beyond the interval, is passed over.
    helpers::duration answer_timeout = std::chrono::milliseconds(300);
    helpers::duration suspicion = std::chrono::seconds(2);
    // It doubles while the hub stays silent: each trial costs the group some store calls.
    helpers::duration longest_suspicion = std::chrono::seconds(8);
    absence_timing absence;
    // Wait of a hub's own watches: the fleet hears of a dead link to the source that soon.
    helpers::duration hub_wait = std::chrono::milliseconds(500);
    helpers::duration direct_wait = std::chrono::milliseconds(2000);
    // News beyond this are left to the source, so that they do not fill a hub's link.
    double news_bytes_per_second = 1e6;
};

class exchange_node {
public:
    // By collection.
    using feed_list = std::array<discovery::feed_watch*, feed_count>;

    exchange_node(kernel::loop& loop, kernel::event_sink& events, exchange_link& link,
                  const feed_list& feeds, std::string self, const exchange_timing& timing);
    ~exchange_node();
    exchange_node(const exchange_node&) = delete;
    exchange_node& operator=(const exchange_node&) = delete;

    // This gateway's own counts; asked before each report.
    void set_counts(std::function<target_counts()> source) { this->counts = std::move(source); }
    // Gets the fleet's sums, the requests in progress without what this gateway itself had
    // reported; what targets that are not listed have at most; and when the next sums come.
    using others_task = std::function<void(const target_counts&, std::uint32_t, helpers::duration)>;
    void on_others(others_task task) { this->others = std::move(task); }

    // Told, as the hub, of a member that is gone for good.
    void on_absent(std::function<void(const std::string& name)> task) {
        this->absent_task = std::move(task);
    }

    void set_members(std::vector<member> members);
    void start();

    // From now on this gateway is no hub.
    void leave() { this->leaving = true; }

    bool is_hub() const { return this->hub && this->hub->name == this->self; }
    // The news come from another gateway.
    bool is_following() const { return this->following; }

private:
    void tick();
    void choose_hub();
    void choose_upstream();
    const member* first_candidate(const member_group& group) const;
    std::optional<member> find_upstream() const;
    void work_as_hub();
    void report_to_hub();
    void ask_other_hubs();
    bool is_asker_of(const member_group& other) const;
    void receive(const helpers::endpoint& from, report message);
    void receive(const helpers::endpoint& from, reply message);
    void take_news(const std::vector<feed_update>& feeds);
    void ask_source_directly(helpers::duration wait);
    reply answer_to(const report& message, const std::string& data_centre, helpers::time_point now);
    void tell_others(const largest_counts& totals, const target_counts& own);
    const largest_counts& sums_for(const std::string& data_centre, helpers::time_point now);
    report make_report(bool for_group, target_counts loads) const;
    helpers::duration interval() const;
    bool take_news_budget(const std::vector<discovery::feed_object>& changes,
                          helpers::time_point now);
    void suspect(const std::string& name, helpers::time_point now);
    bool is_suspected(const std::string& name) const;
    const member* find(const helpers::endpoint& address) const;

    kernel::loop& loop;
    kernel::event_sink& events;
    exchange_link& link;
    feed_list feeds;
    std::string self;
    exchange_timing timing;
    std::function<target_counts()> counts;
    others_task others;
    std::array<feed_log, feed_count> logs;
    load_board board;
    struct kept_sums {
        largest_counts values;
        helpers::time_point at{};
    };
    // By data centre of those who ask.
    std::unordered_map<std::string, kept_sums> newest_sums;
    std::vector<member> members;
    std::map<std::string, member_group> groups;
    std::string own_group;
    std::string own_data_centre;
    std::optional<member> hub;
    // From whom the news come: of a follower its hub, of a hub the first of all hubs; nobody if
    // that is this gateway.
    std::optional<member> upstream;
    struct suspicion {
        helpers::time_point until{};
        helpers::duration length{};
    };
    // Upstream gateways that did not answer; one that answers is taken out.
    std::unordered_map<std::string, suspicion> suspicions;
    absence_watch absences;
    std::function<void(const std::string& name)> absent_task;
    std::uint32_t round = 0;
    // The newest report has no answer yet, and no other is sent before.
    bool is_waiting = false;
    double news_budget = 0;
    helpers::time_point budget_at{};
    // What the newest report said.
    target_counts reported;
    helpers::time_point last_answer{};
    std::size_t known_targets = 0;
    kernel::timer_id timer = 0;
    bool following = false;
    bool leaving = false;
};

} // namespace samphirespool::exchange
