// Implementation of the client of the administration API.
#include "apps/ctl/admin_client.hpp"

namespace samphirespool::ctl {

namespace {

constexpr int not_accepted_status = 503;
constexpr int outcome_unknown_status = 504;
constexpr std::size_t max_response_bytes = std::size_t{64} << 20;

class response_collector final : public http::response_listener {
public:
    void on_head(int status, const http::header_list&) override { this->received.status = status; }
    void on_body(std::span<const char> data) override {
        this->received.body.append(data.data(), data.size());
    }
    void on_done() override { this->result.response = std::move(this->received); }
    void on_failed(const kernel::error& reason, bool maybe_sent) override {
        this->result.reason = reason;
        this->result.maybe_sent = maybe_sent;
        this->failed = true;
    }

    bool is_finished() const { return this->failed || this->result.response.has_value(); }

    admin_response received;
    call_result result;
    bool failed = false;
};

bool is_outcome_unknown(const call_result& result) {
    if (result.response)
        return result.response->status == outcome_unknown_status;
    return result.maybe_sent;
}

// Whether the response to a retry shows the outcome of the change. A 503, nothing was changed,
// refers to the retry only: an earlier attempt may still have had an effect.
bool shows_outcome(const call_result& result) {
    return result.response && result.response->status != outcome_unknown_status &&
           result.response->status != not_accepted_status;
}

} // namespace

admin_client::admin_client(http::event_loop& loop, http::client& client, helpers::endpoint address,
                           std::string token, helpers::duration timeout)
    : loop(loop),
      client(client),
      address(std::move(address)),
      token(std::move(token)),
      timeout(timeout) {
    this->loop.on_terminate([this] { this->interrupted = true; });
}

call_result admin_client::call(std::string_view method, std::string path, std::string body) {
    http::client_request request;
    request.to = this->address;
    request.method = method;
    request.path = std::move(path);
    request.body = std::move(body);
    request.first_byte_timeout = this->timeout;
    request.idle_timeout = this->timeout;
    request.max_body_bytes = max_response_bytes;
    if (!this->token.empty())
        request.headers.push_back({"authorization", "Bearer " + this->token});
    if (!request.body.empty())
        request.headers.push_back({"content-type", "application/json"});
    response_collector listener;
    const auto running = this->client.start(request, listener);
    while (!listener.is_finished() && !this->interrupted)
        this->loop.run_once();
    if (!listener.is_finished())
        listener.on_failed({kernel::error_kind::internal, "interrupted"}, true);
    return std::move(listener.result);
}

call_result admin_client::change(std::string_view method, const std::string& path,
                                 const std::string& body) {
    auto result = this->call(method, path, body);
    if (!is_outcome_unknown(result))
        return result;
    for (int attempt = 1; attempt < max_attempts && !this->interrupted; ++attempt) {
        this->wait(retry_delay);
        result = this->call(method, path, body);
        if (shows_outcome(result))
            return result;
    }
    return {
        {}, {kernel::error_kind::internal, "no response showed the outcome of the change"}, true};
}

void admin_client::wait(helpers::duration time) {
    bool has_expired = false;
    this->loop.schedule(time, [&has_expired] { has_expired = true; });
    while (!has_expired)
        this->loop.run_once();
}

} // namespace samphirespool::ctl
