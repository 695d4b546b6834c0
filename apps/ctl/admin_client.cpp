// Runs calls on the event loop until they end.
#include "apps/ctl/admin_client.hpp"

namespace samphirespool::ctl {

namespace {

constexpr int not_accepted_status = 503;
constexpr int outcome_unknown_status = 504;

class answer_listener final : public http::response_listener {
public:
    void on_head(int status, const http::header_list&) override { this->head.status = status; }
    void on_body(std::span<const char> data) override {
        this->head.body.append(data.data(), data.size());
    }
    void on_done() override { this->result.answer = std::move(this->head); }
    void on_failed(const kernel::error& reason, bool maybe_sent) override {
        this->result.reason = reason;
        this->result.maybe_sent = maybe_sent;
        this->failed = true;
    }

    bool has_ended() const { return this->failed || this->result.answer.has_value(); }

    admin_answer head;
    call_result result;
    bool failed = false;
};

bool is_outcome_unknown(const call_result& result) {
    if (result.answer)
        return result.answer->status == outcome_unknown_status;
    return result.maybe_sent;
}

// After a call with unknown outcome, "nothing was changed" speaks of the repeat alone.
bool settles_earlier_call(const call_result& result) {
    return result.answer && result.answer->status != outcome_unknown_status &&
           result.answer->status != not_accepted_status;
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
    if (!this->token.empty())
        request.headers.push_back({"authorization", "Bearer " + this->token});
    if (!request.body.empty())
        request.headers.push_back({"content-type", "application/json"});
    answer_listener listener;
    const auto running = this->client.start(request, listener);
    while (!listener.has_ended() && !this->interrupted)
        this->loop.run_once();
    if (!listener.has_ended())
        listener.on_failed({kernel::error_kind::internal, "interrupted"}, true);
    return std::move(listener.result);
}

call_result admin_client::change(std::string_view method, const std::string& path,
                                 const std::string& body) {
    auto result = this->call(method, path, body);
    if (!is_outcome_unknown(result))
        return result;
    for (int attempt = 1; attempt < max_attempts && !this->interrupted; ++attempt) {
        this->wait(pause_between);
        result = this->call(method, path, body);
        if (settles_earlier_call(result))
            return result;
    }
    return {{}, {kernel::error_kind::internal, "no answer that settles the change"}, true};
}

void admin_client::wait(helpers::duration time) {
    bool is_over = false;
    this->loop.schedule(time, [&is_over] { is_over = true; });
    while (!is_over)
        this->loop.run_once();
}

} // namespace samphirespool::ctl
