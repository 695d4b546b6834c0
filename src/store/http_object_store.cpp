// Turns the store's calls into HTTP requests and their answers into statuses.
#include "store/http_object_store.hpp"

#include "store/store_json.hpp"

#include <string>
#include <utility>

namespace samphirespool::store {

namespace {

constexpr int status_ok = 200;
constexpr int status_no_content = 204;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int first_server_error = 500;
constexpr int status_unavailable = 503;

std::string percent_encode(std::string_view text) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const unsigned char c : text) {
        const auto is_plain = (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
                              (c >= 'a' && c <= 'z') || c == '-' || c == '.' || c == '_' ||
                              c == '/';
        if (is_plain) {
            result.push_back(static_cast<char>(c));
            continue;
        }
        result.push_back('%');
        result.push_back(digits[c >> 4]);
        result.push_back(digits[c & 15]);
    }
    return result;
}

// A malformed 200 of a write tells that it took effect, but not as which version.
write_result to_write_result(int status, std::string_view body, bool maybe_sent) {
    if (status == status_ok) {
        const auto version = parse_version(body);
        return version ? write_result{store_status::ok, *version} : write_result{};
    }
    if (status == status_conflict)
        return {store_status::conflict, parse_version(body).value_or(absent)};
    if (status == status_not_found)
        return {store_status::not_found, absent};
    const auto had_no_effect = status == status_unavailable ||
                               (status > status_no_content && status < first_server_error) ||
                               (status == 0 && !maybe_sent);
    return {had_no_effect ? store_status::rejected : store_status::unknown, absent};
}

read_result to_read_result(int status, std::string_view body) {
    if (status == status_not_found || status == status_no_content)
        return {store_status::not_found, {}};
    if (status != status_ok)
        return {store_status::rejected, {}};
    auto found = parse_object(body);
    return found ? read_result{store_status::ok, std::move(*found)}
                 : read_result{store_status::rejected, {}};
}

} // namespace

// One running call: collects the answer and reports it once.
class http_object_store::call final : public http::response_listener {
public:
    call(http_object_store& owner, std::uint64_t id, outcome_handler done, bool counted)
        : done(std::move(done)), counted(counted), owner(owner), id(id) {}

    void on_head(int status, const http::header_list&) override { this->result.status = status; }
    void on_body(std::span<const char> data) override {
        this->result.body.append(data.data(), data.size());
    }
    void on_done() override { this->owner.finish(this->id, this->result); }
    void on_failed(const kernel::error&, bool maybe_sent) override {
        this->result.status = 0;
        this->result.maybe_sent = maybe_sent;
        this->owner.finish(this->id, this->result);
    }

    const outcome_handler done;
    const bool counted;
    std::unique_ptr<http::client_call> running;

private:
    http_object_store& owner;
    std::uint64_t id;
    outcome result;
};

http_object_store::http_object_store(kernel::loop& loop, http::client& client,
                                     const http_store_settings& settings)
    : loop(loop), client(client), settings(settings), alive(std::make_shared<bool>(true)) {}

http_object_store::~http_object_store() = default;

http::client_request http_object_store::request_for(std::string method, std::string path) const {
    http::client_request result;
    result.to = this->settings.address;
    result.method = std::move(method);
    result.path = std::move(path);
    result.first_byte_timeout = this->settings.call_timeout;
    result.idle_timeout = this->settings.call_timeout;
    return result;
}

void http_object_store::submit(http::client_request request, outcome_handler done) {
    if (this->running < this->settings.max_running) {
        this->start(request, std::move(done), true);
        return;
    }
    if (this->waiting.size() >= this->settings.max_waiting) {
        this->loop.post([done = std::move(done)] { done({}); });
        return;
    }
    this->waiting.push_back({std::move(request), std::move(done)});
}

void http_object_store::start(const http::client_request& request, outcome_handler done,
                              bool counted) {
    const auto id = ++this->last_id;
    auto added = std::make_unique<call>(*this, id, std::move(done), counted);
    auto& listener = *added;
    this->calls.emplace(id, std::move(added));
    if (counted)
        ++this->running;
    listener.running = this->client.start(request, listener);
}

// Runs within the listener, so the call is destroyed and its answer handed on later.
void http_object_store::finish(std::uint64_t id, const outcome& result) {
    this->loop.post([this, id, result, token = std::weak_ptr<bool>(this->alive)] {
        if (token.expired())
            return;
        const auto found = this->calls.find(id);
        const auto done = found->second->done;
        if (found->second->counted)
            --this->running;
        this->calls.erase(found);
        this->start_waiting();
        done(result);
    });
}

void http_object_store::start_waiting() {
    while (!this->waiting.empty() && this->running < this->settings.max_running) {
        auto next = std::move(this->waiting.front());
        this->waiting.pop_front();
        this->start(next.request, std::move(next.done), true);
    }
}

void http_object_store::read(std::string_view key, std::function<void(read_result)> done) {
    this->submit(this->request_for("GET", "/v1/objects/" + percent_encode(key)),
                 [done = std::move(done)](const outcome& result) {
                     done(to_read_result(result.status, result.body));
                 });
}

void http_object_store::write(std::string_view key, object_version expected, std::string value,
                              std::function<void(write_result)> done) {
    auto request = this->request_for("PUT", "/v1/objects/" + percent_encode(key) +
                                                "?if_version=" + std::to_string(expected));
    request.body = write_put_body(value);
    request.headers = {{"content-type", "application/json"}};
    this->submit(std::move(request), [done = std::move(done)](const outcome& result) {
        done(to_write_result(result.status, result.body, result.maybe_sent));
    });
}

void http_object_store::remove(std::string_view key, object_version expected,
                               std::function<void(write_result)> done) {
    this->submit(this->request_for("DELETE", "/v1/objects/" + percent_encode(key) +
                                                 "?if_version=" + std::to_string(expected)),
                 [done = std::move(done)](const outcome& result) {
                     done(to_write_result(result.status, result.body, result.maybe_sent));
                 });
}

void http_object_store::list(std::string_view prefix, std::function<void(list_result)> done) {
    this->submit(this->request_for("GET", "/v1/objects?prefix=" + percent_encode(prefix)),
                 [done = std::move(done)](const outcome& result) {
                     auto objects =
                         result.status == status_ok ? parse_object_list(result.body) : std::nullopt;
                     done(objects ? list_result{store_status::ok, std::move(*objects)}
                                  : list_result{store_status::rejected, {}});
                 });
}

void http_object_store::watch(std::string_view key, object_version after,
                              helpers::duration max_wait, std::function<void(read_result)> done) {
    const auto wait_ms = max_wait / std::chrono::milliseconds(1);
    auto request = this->request_for("GET", "/v1/watch/" + percent_encode(key) +
                                                "?after=" + std::to_string(after) +
                                                "&wait_ms=" + std::to_string(wait_ms));
    request.first_byte_timeout += max_wait;
    this->start(
        request,
        [done = std::move(done)](const outcome& result) {
            done(to_read_result(result.status, result.body));
        },
        false);
}

void http_object_store::list_vms(std::function<void(vm_list_result)> done) {
    this->submit(
        this->request_for("GET", "/v1/vms"), [done = std::move(done)](const outcome& result) {
            auto vms = result.status == status_ok ? parse_vm_list(result.body) : std::nullopt;
            done(vms ? vm_list_result{store_status::ok, std::move(*vms)}
                     : vm_list_result{store_status::rejected, {}});
        });
}

} // namespace samphirespool::store
