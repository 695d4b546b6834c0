// One gateway's end of the load exchange. A gateway either reports to the hub of its group (as a
// follower) or is the hub. Hubs exchange the totals of their groups, and the first hub that reaches
// the feed source watches it for the whole fleet. A gateway applies the feed updates in the replies
// of its upstream (its hub, or for a hub the first hub). It queries the source itself only when
// these leave its content too old, so that no gateway depends on another, and so that the calls to
// the source grow with the gateways that have lost their peers, not with the size of the fleet.
#pragma once

#include "discovery/feed_watch.hpp"
#include "discovery/freshness.hpp"
#include "exchange/absence_detector.hpp"
#include "exchange/configuration_channel.hpp"
#include "exchange/exchange_link.hpp"
#include "exchange/feed_log.hpp"
#include "exchange/hub_order.hpp"
#include "exchange/load_aggregator.hpp"
#include "exchange/rollout_channel.hpp"
#include "exchange/stream_origins.hpp"
#include "kernel/event.hpp"
#include "kernel/loop.hpp"

#include <array>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>

namespace samphirespool::exchange {

struct exchange_timing {
    // Time between two reports. Requests last from tens of milliseconds to seconds.
    helpers::duration report_interval = std::chrono::milliseconds(100);
    // Minimum interval per listed target, so that longer replies are sent less often: 16 KB/s at 16
    // bytes per target, of the 22 KB/s that a gateway may use at the design size.
    helpers::duration report_interval_per_target = std::chrono::milliseconds(1);
    // Targets in a reply: those with failures and the busiest ones. The others are far from any
    // limit.
    std::size_t max_listed_targets = 150;
    // Totals are cached for this long.
    helpers::duration aggregate_interval = std::chrono::milliseconds(40);
    // A hub watches the source continuously for this long after a report that wants updates.
    helpers::duration reader_time = std::chrono::seconds(1);
    // An upstream gateway that has not replied for this long beyond the report interval is
    // suspected and skipped in the hub order.
    helpers::duration reply_timeout = std::chrono::milliseconds(300);
    helpers::duration initial_suspicion = std::chrono::seconds(2);
    // The suspicion time doubles up to this while the hub stays silent, since the gateway gets no
    // totals during each trial.
    helpers::duration max_suspicion = std::chrono::seconds(8);
    // Interval of the probes that end a suspicion early.
    helpers::duration hub_probe_interval = std::chrono::seconds(1);
    absence_timing absence;
    discovery::freshness_limits freshness{std::chrono::seconds(2)};
    // Backoff of probes while the source is unreachable: of hubs, which probe for their groups, and
    // gateways that reach no hub; and of followers whose hub replies without recent content. The
    // latter grows with the fleet, so that all followers together send a bounded rate.
    discovery::backoff_limits backoff;
    helpers::duration follower_backoff_per_member = std::chrono::milliseconds(20);
    helpers::duration max_follower_backoff = std::chrono::seconds(5);
    // Updates beyond this rate are not sent, so that they do not saturate a hub's link; the
    // receiver reads them from the source.
    double update_bytes_per_second = 1e6;
};

class exchange_node {
public:
    // Indexed by discovery::collection. A feed that is not started is null; those after it are,
    // too.
    using feed_list = std::array<discovery::feed_watch*, feed_count>;

    exchange_node(kernel::loop& loop, kernel::event_sink& events, exchange_link& link,
                  const feed_list& feeds, discovery::source_gate& gate, std::string self,
                  const exchange_timing& timing);
    ~exchange_node();
    exchange_node(const exchange_node&) = delete;
    exchange_node& operator=(const exchange_node&) = delete;

    // Sets the function that returns this gateway's own counts. Called before each report.
    void set_own_counts_source(std::function<target_counts()> source) {
        this->own_counts = std::move(source);
    }
    // Receives the fleet's totals, whose requests in flight exclude those that this gateway
    // reported; the upper bound for targets that are not listed; and the time until the next
    // update.
    using peer_counts_callback =
        std::function<void(const target_counts&, std::uint32_t, helpers::duration)>;
    void on_peer_counts(peer_counts_callback handler) {
        this->peer_counts_handler = std::move(handler);
    }

    // Evidence against suspects goes with each report and reply. The source returns all that
    // this gateway knows, so that it reaches all gateways through any that are connected.
    void set_evidence_source(std::function<admission::crash_evidence_list()> source) {
        this->own_evidence = std::move(source);
    }
    void on_evidence(std::function<void(const admission::crash_evidence_list&)> handler) {
        this->evidence_handler = std::move(handler);
    }

    // Limits that targets have named, likewise.
    void set_limit_source(std::function<admission::target_limit_list()> source) {
        this->own_limits = std::move(source);
    }
    void on_limits(std::function<void(const admission::target_limit_list&)> handler) {
        this->limits_handler = std::move(handler);
    }

    // Current speeds that targets have stated, likewise.
    void set_speed_source(std::function<admission::target_speed_list()> source) {
        this->own_speeds = std::move(source);
    }
    void on_speeds(std::function<void(const admission::target_speed_list&)> handler) {
        this->speeds_handler = std::move(handler);
    }

    // Streams whose origins go with reports and replies.
    void set_stream_origins(stream_origins& all) { this->origins = &all; }

    // Results and directives of rollouts go with reports and replies.
    void set_rollout_channel(rollout_channel& channel) { this->rollouts = &channel; }

    // Versions of the configuration go with reports and replies.
    void set_configuration_channel(configuration_channel& channel) {
        this->configurations = &channel;
    }

    // The handler is called on the hub, with the name of a member that has stopped for good.
    void on_member_absent(std::function<void(const std::string& name)> handler) {
        this->absent_handler = std::move(handler);
    }

    void set_members(std::vector<member> members);
    void start();

    // Reports to the hub ahead of the next round, for what must not be lost with this gateway.
    void report_early();

    // From now on this gateway is never the hub and ignores reports.
    void resign_hub() { this->has_resigned = true; }

    bool is_hub() const { return this->hub && this->hub->name == this->self; }
    // Whether this gateway is a hub that watches the source for all that reach it. At most one
    // gateway does, as long as all reach each other.
    bool is_reader() const { return this->is_hub() && !this->upstream; }
    // Empty if the whole fleet is one group.
    const std::string& group() const { return this->own_group; }
    // Whether all feed updates come from the upstream gateway.
    bool is_following() const { return this->follows_upstream; }

private:
    // How this gateway gets feed updates.
    enum class source_role : std::uint8_t {
        // Before the first member list.
        undecided,
        // Watches the source continuously.
        reader,
        // A hub that gets updates from another hub.
        hub,
        follower,
        // A hub to which nobody reports. There may be many while the fleet is partitioned.
        isolated,
    };

    static constexpr std::size_t max_probed_hubs = 3;

    void tick();
    void probe_silent_hubs();
    void check_upstream();
    void choose_hub();
    void choose_upstream();
    const member* first_hub_candidate(const member_group& group) const;
    std::optional<member> find_upstream() const;
    std::optional<member> find_reader() const;
    void set_source_role();
    source_role choose_source_role() const;
    discovery::backoff_limits probe_backoff() const;
    helpers::duration oldest_feed_age(helpers::time_point now) const;
    void skip_outdated_reader(const std::string& name, helpers::time_point now);
    void run_as_hub();
    void report_to_hub();
    void report_to_other_hubs();
    bool must_report_to(const std::string& name, const member_group& other) const;
    void receive(const helpers::endpoint& from, report message);
    void receive(const helpers::endpoint& from, reply message);
    void apply_updates(std::vector<feed_update> updates);
    void merge_evidence(const admission::crash_evidence_list& received) const;
    void merge_limits(const admission::target_limit_list& received) const;
    void merge_speeds(const admission::target_speed_list& received) const;
    void add_rollouts(report& message, const std::string& receiver);
    void merge_rollouts(const report& message, const std::string& sender);
    void add_stream_origins(report& message, bool is_first_to_receiver) const;
    stream_origin_list make_stream_origins(const report& message, const member* sender,
                                           helpers::time_point now) const;
    reply make_reply(const report& message, const member* sender, helpers::time_point now);
    std::vector<feed_update> make_updates(const report& message, helpers::time_point now);
    void publish_peer_counts(const top_counts& totals, const target_counts& own);
    const top_counts& totals_for(const std::string& data_centre, helpers::time_point now);
    report make_report(bool for_group, target_counts loads) const;
    helpers::duration report_interval() const;
    bool consume_update_budget(const feed_difference& difference, helpers::time_point now);
    void suspect(const std::string& name, helpers::time_point now);
    // Gives the receiver the configuration in force, if it has asked for it.
    void add_configuration(report& message, const std::string& receiver);
    // Gives the sender of the report the configuration in force, or asks for its later one.
    void add_configuration(reply& result, const report& message, helpers::time_point now);
    void receive_configuration(const std::string& content) const;
    bool is_suspected(const std::string& name) const;
    bool is_outdated(const std::string& name) const;
    void start_round();
    std::optional<helpers::duration> round_trip(std::uint32_t reply_round) const;
    const member* find_member(const helpers::endpoint& address) const;

    kernel::loop& loop;
    kernel::event_sink& events;
    exchange_link& link;
    feed_list feeds;
    discovery::source_gate& gate;
    std::string self;
    exchange_timing timing;
    std::function<target_counts()> own_counts;
    peer_counts_callback peer_counts_handler;
    std::function<admission::crash_evidence_list()> own_evidence;
    std::function<void(const admission::crash_evidence_list&)> evidence_handler;
    std::function<admission::target_limit_list()> own_limits;
    std::function<void(const admission::target_limit_list&)> limits_handler;
    std::function<admission::target_speed_list()> own_speeds;
    std::function<void(const admission::target_speed_list&)> speeds_handler;
    // Null if streams are not shared.
    stream_origins* origins = nullptr;
    // Null if rollouts are not active.
    rollout_channel* rollouts = nullptr;
    // Null if versions are not shared.
    configuration_channel* configurations = nullptr;
    // The gateways that have asked for this one's configuration.
    std::set<std::string> askers;
    helpers::time_point next_question_at{};
    // The gateway that has this gateway's results of rollouts.
    std::string receiver_with_rows;
    // The hub that has this gateway's streams.
    std::string hub_with_streams;
    std::array<feed_log, feed_count> logs;
    load_aggregator aggregator;
    struct cached_totals {
        top_counts values;
        helpers::time_point at{};
    };
    // By data centre of the receivers.
    std::unordered_map<std::string, cached_totals> totals_cache;
    std::vector<member> members;
    std::map<std::string, member_group> groups;
    std::string own_group;
    std::string own_data_centre;
    std::optional<member> hub;
    // The gateway that sends feed updates to this one: a follower's hub, or the first hub with
    // recent content in case of a hub. Empty if that is this gateway itself.
    std::optional<member> upstream;
    source_role role = source_role::undecided;
    helpers::time_point role_since{};
    struct suspicion {
        helpers::time_point expires_at{};
        helpers::duration duration{};

        void renew(helpers::time_point now, const exchange_timing& timing);
    };
    // Upstream gateways that did not reply, by name. A reply removes the entry.
    std::unordered_map<std::string, suspicion> suspicions;
    // Hubs without recent feed content, by name; this gateway itself if it does not reach the
    // source. They stay hubs for the loads.
    std::unordered_map<std::string, suspicion> outdated_readers;
    absence_detector absent_members;
    std::function<void(const std::string& name)> absent_handler;
    helpers::time_point next_hub_probe_at{};
    std::uint32_t round = 0;
    // When the latest reports were sent, by round modulo the size.
    std::array<helpers::time_point, 16> report_times{};
    // The latest report has no reply yet; the next one is sent only after the reply.
    bool is_awaiting_reply = false;
    double update_budget_bytes = 0;
    helpers::time_point budget_refilled_at{};
    // Counts in the latest report.
    target_counts last_reported_counts;
    helpers::time_point last_reply_at{};
    // The latest reply with feed updates, or when the upstream was chosen.
    helpers::time_point last_update_at{};
    // When a gateway that wants updates last reported to this one.
    std::optional<helpers::time_point> last_report_at;
    std::size_t listed_target_count = 0;
    kernel::timer_id timer = 0;
    kernel::timer_id early_report_timer = 0;
    bool follows_upstream = false;
    bool has_resigned = false;
};

} // namespace samphirespool::exchange
