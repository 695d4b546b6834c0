// Polls load reports and computes their age from when their generation was first received.
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
        request.max_body_bytes = max_report_bytes;
        this->call = owner.client.start(request, *this);
    }

    void on_head(int status, const http::header_list&) override {
        this->success = status == status_ok;
    }
    void on_body(std::span<const char> data) override {
        this->body.append(data.data(), data.size());
    }
    void on_done() override {
        if (this->success)
            this->owner.store_report(this->target, this->body);
        this->owner.finish_poll(this->target, this->success);
    }
    void on_failed(const kernel::error&, bool) override {
        this->owner.finish_poll(this->target, false);
    }

private:
    load_poller& owner;
    helpers::target_id target;
    std::string body;
    bool success = false;
    std::unique_ptr<http::client_call> call;
};

load_poller::load_poller(kernel::loop& loop, http::client& client, target_source targets,
                         report_handler report_listener)
    : loop(loop),
      client(client),
      targets(std::move(targets)),
      report_listener(std::move(report_listener)) {
    this->timer = loop.schedule(period, [this] { this->tick(); });
}

load_poller::~load_poller() {
    this->loop.cancel(this->timer);
}

void load_poller::tick() {
    this->timer = this->loop.schedule(period, [this] { this->tick(); });
    const auto polled = this->targets();
    std::map<helpers::target_id, stored_report> kept;
    for (const auto& target : polled) {
        const auto stored = this->reports.find(target.id);
        if (stored != this->reports.end())
            kept.insert(*stored);
        if (!this->polls.contains(target.id))
            this->polls.emplace(target.id, std::make_unique<poll>(*this, target));
    }
    this->reports = std::move(kept);
}

void load_poller::store_report(helpers::target_id target, std::string_view body) {
    auto parsed = parse_load(body);
    if (!parsed)
        return;
    const auto now = this->loop.time().now();
    auto& stored = this->reports[target];
    const bool is_new = stored.first_received == helpers::time_point{} ||
                        stored.generation != parsed->generation ||
                        stored.report.incarnation != parsed->report.incarnation;
    if (is_new)
        stored.first_received = now;
    stored.generation = parsed->generation;
    stored.report = parsed->report;
    stored.report.age = now - stored.first_received;
    this->report_listener(target, stored.report);
}

void load_poller::finish_poll(helpers::target_id target, bool success) {
    this->failed += success ? 0 : 1;
    // The poll is still on the call stack; it is destroyed in the next loop iteration.
    const auto it = this->polls.find(target);
    if (it == this->polls.end())
        return;
    this->loop.post([finished = std::shared_ptr<poll>(std::move(it->second))] {});
    this->polls.erase(it);
}

std::optional<admission::load_report> load_poller::last_report(helpers::target_id target) const {
    const auto it = this->reports.find(target);
    if (it == this->reports.end())
        return std::nullopt;
    return it->second.report;
}

} // namespace samphirespool::router
