// Polls load reports and dates them by the time when their generation was seen first.
#include "router/load_poller.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace samphirespool::router {

namespace {

constexpr std::size_t max_report_bytes = 4096;
constexpr int status_ok = 200;

} // namespace

std::optional<parsed_load> parse_load(std::string_view body) {
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    for (const auto* name : {"incarnation", "in_flight", "outstanding_tokens"})
        if (!json.contains(name) || !json.at(name).is_number_unsigned())
            return std::nullopt;
    parsed_load result;
    result.report.incarnation = json.at("incarnation").get<std::uint64_t>();
    result.report.in_flight = json.at("in_flight").get<std::uint32_t>();
    result.report.outstanding_tokens = json.at("outstanding_tokens").get<std::uint64_t>();
    const auto generation = json.find("generation");
    if (generation != json.end() && generation->is_number_unsigned())
        result.generation = generation->get<std::uint64_t>();
    return result;
}

class load_poller::poll final : public http::response_listener {
public:
    poll(load_poller& owner, const polled_target& target) : owner(owner), target(target.id) {
        http::client_request request;
        request.to = target.address;
        request.path = "/load";
        request.first_byte_timeout = timeout;
        request.idle_timeout = timeout;
        this->call = owner.client.start(request, *this);
    }

    void on_head(int status, const http::header_list&) override {
        this->success = status == status_ok;
    }
    void on_body(std::span<const char> data) override {
        if (this->body.size() + data.size() > max_report_bytes)
            this->success = false;
        else
            this->body.append(data.data(), data.size());
    }
    void on_done() override {
        if (this->success)
            this->owner.take(this->target, this->body);
        this->owner.end(this->target, this->success);
    }
    void on_failed(const kernel::error&, bool) override { this->owner.end(this->target, false); }

private:
    load_poller& owner;
    helpers::target_id target;
    std::string body;
    bool success = false;
    std::unique_ptr<http::client_call> call;
};

load_poller::load_poller(kernel::loop& loop, http::client& client, target_source targets,
                         report_handler on_report)
    : loop(loop), client(client), targets(std::move(targets)), on_report(std::move(on_report)) {
    this->timer = loop.schedule(period, [this] { this->tick(); });
}

load_poller::~load_poller() {
    this->loop.cancel(this->timer);
}

void load_poller::tick() {
    this->timer = this->loop.schedule(period, [this] { this->tick(); });
    const auto wanted = this->targets();
    std::map<helpers::target_id, known_report> kept;
    for (const auto& target : wanted) {
        const auto known = this->reports.find(target.id);
        if (known != this->reports.end())
            kept.insert(*known);
        if (!this->polls.contains(target.id))
            this->polls.emplace(target.id, std::make_unique<poll>(*this, target));
    }
    this->reports = std::move(kept);
}

void load_poller::take(helpers::target_id target, std::string_view body) {
    auto parsed = parse_load(body);
    if (!parsed)
        return;
    const auto now = this->loop.time().now();
    auto& known = this->reports[target];
    const bool fresh = known.first_seen == helpers::time_point{} ||
                       known.generation != parsed->generation ||
                       known.report.incarnation != parsed->report.incarnation;
    if (fresh)
        known.first_seen = now;
    known.generation = parsed->generation;
    known.report = parsed->report;
    known.report.age = now - known.first_seen;
    this->on_report(target, known.report);
}

void load_poller::end(helpers::target_id target, bool success) {
    this->failed += success ? 0 : 1;
    // The poll is on the stack; it goes on the next turn of the loop.
    const auto found = this->polls.find(target);
    if (found == this->polls.end())
        return;
    this->loop.post([done = std::shared_ptr<poll>(std::move(found->second))] {});
    this->polls.erase(found);
}

std::optional<admission::load_report> load_poller::last_report(helpers::target_id target) const {
    const auto found = this->reports.find(target);
    if (found == this->reports.end())
        return std::nullopt;
    return found->second.report;
}

} // namespace samphirespool::router
