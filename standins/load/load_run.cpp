// Starts requests when they are due and checks their responses.
#include "standins/load/load_run.hpp"

#include "http/socket_address.hpp"
#include "standins/common/response_text.hpp"

#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace samphirespool::standins {

namespace {

using nlohmann::json;

constexpr auto arrival_tick = std::chrono::milliseconds(1);
constexpr auto drain_limit = std::chrono::seconds(60);
constexpr std::string_view content_mark = "\"content\":\"";
constexpr int status_ok = 200;

float milliseconds(helpers::duration time) {
    return std::chrono::duration<float, std::milli>(time).count();
}

} // namespace

class load_run::caller final : public http::response_listener {
public:
    caller(load_run& run, std::uint64_t number, helpers::time_point due)
        : run(run), number(number), due(due) {}

    void start_chat(const helpers::endpoint& to, const std::string& text, std::uint64_t chat) {
        this->chat_number = chat;
        this->hash = prompt_hash(prompt_segment("user", text));
        auto request = this->make_request(to, "/v1/chat/completions");
        request.headers.push_back({"x-chat-key", "chat-" + std::to_string(chat)});
        request.body = json{{"model", this->run.options.model},
                            {"stream", this->run.options.stream},
                            {"max_tokens", this->run.options.max_tokens},
                            {"messages", {{{"role", "user"}, {"content", text}}}}}
                           .dump();
        this->call = this->run.client.start(request, *this);
    }

    void start_booking(const helpers::endpoint& to) {
        auto request = this->make_request(to, "/bookings");
        request.headers.push_back({"idempotency-key", "booking-" + std::to_string(this->number) +
                                                          "-" +
                                                          std::to_string(this->run.options.seed)});
        request.body = "{}";
        this->call = this->run.client.start(request, *this);
    }

    std::uint64_t chat() const { return this->chat_number; }

    void on_head(int given, const http::header_list& headers) override {
        this->status = given;
        this->outcome = http::find_header(headers, "x-outcome").value_or("");
    }

    void on_body(std::span<const char> data) override {
        const auto now = this->run.loop.time().now();
        if (this->last_data == helpers::time_point{})
            this->run.summary.first_byte.push_back(milliseconds(now - this->due));
        else if (this->run.options.stream)
            this->run.summary.gaps.push_back(milliseconds(now - this->last_data));
        this->last_data = now;
        this->body.append(data.data(), data.size());
        if (this->run.options.stream && this->status == status_ok)
            this->check_events();
    }

    void on_done() override {
        this->classify_response();
        this->finish();
    }

    void on_failed(const kernel::error&, bool) override {
        if (this->status == status_ok)
            ++this->run.summary.broken;
        else
            ++this->run.summary.unanswered;
        this->finish();
    }

private:
    http::client_request make_request(const helpers::endpoint& to, std::string path) const {
        http::client_request request;
        request.to = to;
        request.method = "POST";
        request.path = std::move(path);
        request.headers = {{"authorization", "Bearer " + this->run.options.key},
                           {"content-type", "application/json"},
                           {"x-request-id", "load-" + std::to_string(this->number)},
                           {"x-deadline-ms", std::to_string(this->run.options.deadline_ms)}};
        request.first_byte_timeout =
            std::chrono::milliseconds(this->run.options.deadline_ms) + std::chrono::seconds(5);
        return request;
    }

    // Checks each complete event and removes it from the buffer.
    void check_events() {
        std::size_t start = 0;
        const std::string_view text = this->body;
        for (;;) {
            const auto end = text.find("\n\n", start);
            if (end == std::string_view::npos)
                break;
            this->check_event(text.substr(start, end - start));
            start = end + 2;
        }
        this->body.erase(0, start);
    }

    void check_event(std::string_view event) {
        if (event == "data: [DONE]") {
            this->saw_done = true;
            return;
        }
        const auto mark = event.find(content_mark);
        if (mark == std::string_view::npos) {
            this->add_usage(event.substr(std::string_view("data: ").size()));
            return;
        }
        const auto token = event.substr(mark + content_mark.size(), token_bytes);
        this->is_wrong =
            this->is_wrong || this->saw_done || token != token_text(this->hash, this->tokens);
        ++this->tokens;
    }

    void add_usage(std::string_view text) {
        const auto last = json::parse(text, nullptr, false);
        if (!last.is_object() || !last.contains("usage"))
            return;
        this->run.summary.prompt_tokens += last["usage"].value("prompt_tokens", 0U);
        this->run.summary.cached_tokens += last["usage"].value("cached_tokens", 0U);
    }

    void classify_response() {
        if (this->status != status_ok) {
            this->classify_rejection();
            return;
        }
        if (!this->run.options.bookings && !this->run.options.stream)
            this->check_response_body();
        const bool whole =
            this->run.options.bookings || (this->tokens == this->run.options.max_tokens &&
                                           (this->saw_done || !this->run.options.stream));
        if (this->is_wrong || !whole)
            ++this->run.summary.wrong;
        else
            ++this->run.summary.answered_whole;
        this->run.summary.tokens += this->tokens;
        this->run.summary.whole.push_back(milliseconds(this->run.loop.time().now() - this->due));
    }

    void classify_rejection() {
        if (this->outcome == "not run")
            ++this->run.summary.refused_not_run;
        else
            ++this->run.summary.outcome_unknown;
        const auto error = json::parse(this->body, nullptr, false);
        const auto code = error.is_object() && error.contains("error") && error["error"].is_object()
                              ? error["error"].value("code", "")
                              : std::to_string(this->status);
        ++this->run.summary.error_codes[code];
    }

    void check_response_body() {
        this->add_usage(this->body);
        const auto mark = this->body.find(content_mark);
        if (mark == std::string::npos) {
            this->is_wrong = true;
            return;
        }
        const auto start = mark + content_mark.size();
        const auto text = this->body.substr(start, this->body.find('"', start) - start);
        for (; this->tokens * token_bytes < text.size(); ++this->tokens)
            if (text.compare(this->tokens * token_bytes, token_bytes,
                             token_text(this->hash, this->tokens)) != 0)
                this->is_wrong = true;
    }

    void finish() {
        this->run.loop.post([this] { this->run.on_caller_finished(this->number); });
    }

    load_run& run;
    std::uint64_t number;
    helpers::time_point due;
    std::uint64_t chat_number = 0;
    std::uint64_t hash = 0;
    std::unique_ptr<http::client_call> call;
    int status = 0;
    std::string outcome;
    std::string body;
    helpers::time_point last_data{};
    std::uint64_t tokens = 0;
    bool saw_done = false;
    bool is_wrong = false;
};

load_run::load_run(http::event_loop& loop, const load_options& options)
    : loop(loop),
      options(options),
      client(loop, {}),
      random(options.seed),
      chats(std::max<std::uint64_t>(options.chats, 1)) {}

load_run::~load_run() {
    for (const int descriptor : this->idle)
        close(descriptor);
}

load_summary& load_run::run() {
    this->open_idle_connections();
    this->started_at = this->loop.time().now();
    this->start_due_requests();
    helpers::time_point arrivals_ended_at{};
    while (!this->arrivals_finished() || !this->callers.empty()) {
        this->loop.run_once();
        const auto now = this->loop.time().now();
        if (this->arrivals_finished() && arrivals_ended_at == helpers::time_point{})
            arrivals_ended_at = now;
        if (arrivals_ended_at != helpers::time_point{} && now - arrivals_ended_at > drain_limit)
            break;
    }
    this->summary.unanswered += this->callers.size();
    this->callers.clear();
    this->summary.requests = this->started;
    this->summary.seconds =
        std::chrono::duration<double>(this->loop.time().now() - this->started_at).count();
    return this->summary;
}

void load_run::open_idle_connections() {
    const auto address = http::socket_address::of(this->options.to.front());
    for (std::uint64_t i = 0; i < this->options.idle_connections; ++i) {
        const int descriptor = socket(address.family(), SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (descriptor < 0)
            return;
        if (connect(descriptor, address.get(), address.size()) == 0)
            this->idle.push_back(descriptor);
        else
            close(descriptor);
    }
}

bool load_run::arrivals_finished() const {
    if (this->options.requests != 0 && this->started >= this->options.requests)
        return true;
    const std::chrono::duration<double> passed = this->loop.time().now() - this->started_at;
    return this->options.seconds != 0 && passed.count() >= this->options.seconds;
}

void load_run::start_due_requests() {
    if (this->arrivals_finished())
        return;
    const auto now = this->loop.time().now();
    if (this->options.rate == 0) {
        while (this->callers.size() < this->options.concurrency && !this->arrivals_finished())
            this->start(now);
    } else {
        const std::chrono::duration<double> between(1 / this->options.rate);
        for (;;) {
            const auto due = this->started_at + std::chrono::duration_cast<helpers::duration>(
                                                    between * static_cast<double>(this->started));
            if (due > now || this->arrivals_finished())
                break;
            this->start(due);
        }
    }
    this->loop.schedule(arrival_tick, [this] { this->start_due_requests(); });
}

void load_run::start(helpers::time_point due) {
    const auto number = ++this->started;
    const auto& to = this->options.to[number % this->options.to.size()];
    auto& created = this->callers[number];
    created = std::make_unique<caller>(*this, number, due);
    if (this->options.bookings) {
        created->start_booking(to);
        return;
    }
    auto chosen = this->random.below(this->chats.size());
    for (std::size_t i = 0; i < this->chats.size() && this->chats[chosen].busy; ++i)
        chosen = (chosen + 1) % this->chats.size();
    const auto text = this->extend_chat_text(chosen);
    this->chats[chosen].busy = true;
    created->start_chat(to, text, chosen);
}

std::string load_run::extend_chat_text(std::uint64_t chat_number) {
    auto& text = this->chats[chat_number].text;
    const auto wanted =
        text.empty() ? this->options.prompt_bytes : text.size() + this->options.turn_bytes;
    kernel::random_source words(this->options.seed * 1'000'003 + chat_number +
                                (text.size() << 20U));
    while (text.size() < wanted)
        text += token_text(words.next(), 0);
    return text;
}

void load_run::on_caller_finished(std::uint64_t number) {
    const auto found = this->callers.find(number);
    if (found == this->callers.end())
        return;
    if (!this->options.bookings)
        this->chats[found->second->chat()].busy = false;
    this->callers.erase(found);
    if (this->options.rate == 0 && !this->arrivals_finished())
        this->start(this->loop.time().now());
}

} // namespace samphirespool::standins
