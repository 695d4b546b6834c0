// Adds requests to the batch and generates tokens in each step.
#include "standins/engine/engine.hpp"

#include "standins/common/response_text.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace samphirespool::standins {

namespace {

using nlohmann::json;

constexpr std::uint64_t default_max_tokens = 64;
// Generation of a stream pauses while more bytes than this wait to be sent to its reader.
constexpr std::size_t max_buffered_bytes = std::size_t{1024} * 1024;

void respond_json(http::exchange& incoming, int status, const json& body,
                  const std::string& request_id = {}) {
    http::header_list headers{{"content-type", "application/json"}};
    if (!request_id.empty())
        headers.push_back({"x-request-id", request_id});
    incoming.respond(status, std::move(headers), body.dump());
}

std::string prompt_of(const json& body) {
    std::string prompt;
    for (const auto& message : body.value("messages", json::array()))
        prompt += prompt_segment(message.value("role", ""), message.value("content", ""));
    return prompt;
}

std::uint64_t number_header(const http::header_list& headers, std::string_view name) {
    std::uint64_t number = 0;
    if (const auto text = http::find_header(headers, name))
        std::from_chars(text->data(), text->data() + text->size(), number);
    return number;
}

response_fault fault_named(std::string_view name) {
    constexpr std::string_view names[] = {
        "none", "wrong_request_id", "duplicate", "truncate", "late", "error", "hang"};
    const auto* found = std::find(std::begin(names), std::end(names), name);
    return found == std::end(names) ? response_fault::none
                                    : static_cast<response_fault>(found - std::begin(names));
}

double seconds(helpers::duration time) {
    return std::chrono::duration<double>(time).count();
}

} // namespace

engine::engine(kernel::loop& loop, const engine_options& options)
    : loop(loop),
      options(options),
      random(options.seed),
      cache(options.cache_blocks),
      concurrency_allowance(options.starts_cold ? options.cold_allowance : options.warm_at),
      incarnation(static_cast<std::uint64_t>(loop.time().wall())) {
    this->schedule_load_report();
}

engine::~engine() {
    this->loop.cancel(this->step_timer);
    this->loop.cancel(this->load_timer);
}

void engine::handle(std::unique_ptr<http::exchange> incoming) {
    const auto request = incoming->request();
    if (request.path == "/v1/chat/completions")
        this->complete_chat(std::move(incoming));
    else if (request.path == "/load")
        this->show_load(*incoming);
    else if (request.path == "/cache-events")
        this->show_cache_events(*incoming);
    else if (request.path == "/control/counters")
        this->show_counters(*incoming);
    else if (request.path == "/control/faults")
        this->set_faults(*incoming);
    else
        respond_json(*incoming, 404, {{"error", "no such path"}});
}

void engine::complete_chat(std::unique_ptr<http::exchange> incoming) {
    const auto request = incoming->request();
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        respond_json(*incoming, 400, {{"error", "the body isn't a JSON object"}});
        return;
    }
    auto created = std::make_unique<generation>();
    created->request_id = http::find_header(request.headers, "x-request-id").value_or("");
    created->fault = this->next_request_fault();
    if (created->fault == response_fault::error) {
        respond_json(*incoming, 500, {{"error", "fault by control"}}, created->request_id);
        return;
    }
    if (this->is_cold() && this->batch.size() >= this->concurrency_allowance) {
        // Overload of a cold engine: all requests of the batch are lost.
        ++this->overloads;
        this->cancelled += this->batch.size();
        this->batch.clear();
        this->make_cold();
        respond_json(*incoming, 503, {{"error", "overwhelmed while cold"}}, created->request_id);
        return;
    }
    created->model = body.value("model", "");
    created->stream = body.value("stream", false);
    created->max_tokens = body.value("max_tokens", default_max_tokens);
    created->position = number_header(request.headers, "x-resume-tokens");
    created->caller = std::move(incoming);
    this->start(std::move(created), prompt_of(body));
}

void engine::start(std::unique_ptr<generation> created, const std::string& prompt) {
    const auto blocks = block_hashes(prompt);
    const auto hits = this->cache.use(blocks, this->loop.time().now());
    created->prompt_hash = prompt_hash(prompt);
    created->prompt_tokens = prompt.size() / bytes_per_token;
    created->cached_tokens = hits * tokens_per_block;
    const auto tokens_to_prefill =
        static_cast<double>(created->prompt_tokens - created->cached_tokens);
    const std::chrono::duration<double> prefill(tokens_to_prefill /
                                                this->options.prefill_tokens_per_second);
    created->prefill_until =
        this->loop.time().now() + std::chrono::duration_cast<helpers::duration>(prefill);
    if (created->fault == response_fault::late)
        created->prefill_until += this->fault_delay;
    if (created->fault == response_fault::hang)
        created->prefill_until = helpers::time_point::max();
    auto* entry = created.get();
    created->caller->on_disconnected([entry] { entry->disconnected = true; });
    ++this->started;
    this->prompt_tokens += created->prompt_tokens;
    this->cached_tokens += created->cached_tokens;
    this->batch.push_back(std::move(created));
    this->max_in_flight = std::max<std::uint64_t>(this->max_in_flight, this->batch.size());
    if (this->step_timer == 0)
        this->step_timer = this->loop.schedule(this->options.step, [this] { this->step(); });
}

void engine::step() {
    this->step_timer = 0;
    const auto now = this->loop.time().now();
    const auto size = static_cast<double>(this->batch.size());
    const auto full = static_cast<double>(this->options.full_rate_streams);
    const auto rate = this->options.tokens_per_second * std::min(1.0, full / std::max(size, 1.0));
    const auto tokens = rate * seconds(this->options.step);
    for (auto& each : this->batch)
        if (!each->disconnected && each->prefill_until <= now)
            this->advance(*each, tokens);
    std::erase_if(this->batch, [this](const auto& each) {
        if (each->disconnected)
            ++this->cancelled;
        return each->disconnected || each->caller == nullptr;
    });
    if (!this->batch.empty())
        this->step_timer = this->loop.schedule(this->options.step, [this] { this->step(); });
}

void engine::advance(generation& each, double tokens) {
    if (each.caller->buffered() > max_buffered_bytes)
        return;
    each.fractional_tokens += tokens;
    const auto whole = static_cast<std::uint64_t>(each.fractional_tokens);
    each.fractional_tokens -= static_cast<double>(whole);
    const auto left = each.max_tokens - std::min(each.position, each.max_tokens);
    this->emit(each, std::min(whole, left));
    if (each.position >= each.max_tokens)
        this->finish(each);
}

void engine::emit(generation& each, std::uint64_t tokens) {
    std::string events;
    for (std::uint64_t i = 0; i < tokens; ++i, ++each.position) {
        if (each.stream)
            append_token_event(each, events);
        else
            each.text += token_text(each.prompt_hash, each.position);
    }
    this->tokens_out += tokens;
    if (events.empty())
        return;
    each.caller->begin(200, response_headers(each));
    each.caller->write(events);
    if (each.fault == response_fault::truncate)
        each.caller.reset();
}

void engine::finish(generation& each) {
    if (each.caller == nullptr)
        return;
    ++this->finished;
    this->advance_warm_up();
    if (!each.stream) {
        each.caller->respond(200, response_headers(each), complete_response(each));
        each.caller.reset();
        return;
    }
    std::string events;
    append_final_events(each, events);
    if (each.fault == response_fault::duplicate)
        events += events;
    each.caller->begin(200, response_headers(each));
    each.caller->write(events);
    each.caller->finish();
    each.caller.reset();
}

void engine::make_cold() {
    this->concurrency_allowance = this->options.cold_allowance;
    this->responses_since_doubling = 0;
    this->cache.clear();
}

void engine::advance_warm_up() {
    if (!this->is_cold() || ++this->responses_since_doubling < this->options.doubling_interval)
        return;
    this->concurrency_allowance *= 2;
    this->responses_since_doubling = 0;
}

response_fault engine::next_request_fault() {
    if (this->fault_count == 0)
        return response_fault::none;
    --this->fault_count;
    return this->next_fault;
}

void engine::set_faults(http::exchange& incoming) {
    const auto wanted = json::parse(incoming.request().body, nullptr, false);
    if (!wanted.is_object()) {
        respond_json(incoming, 400, {{"error", "the body isn't a JSON object"}});
        return;
    }
    if (wanted.contains("cold")) {
        this->concurrency_allowance = this->options.warm_at;
        if (wanted["cold"].get<bool>())
            this->make_cold();
    }
    if (wanted.contains("fault")) {
        this->next_fault = fault_named(wanted["fault"].get<std::string>());
        this->fault_count = wanted.value("count", std::uint64_t{1});
        this->fault_delay = std::chrono::milliseconds(wanted.value("delay_ms", 0));
    }
    respond_json(incoming, 200, json::object());
}

engine::load_report engine::measure() const {
    load_report now;
    now.in_flight = this->batch.size();
    for (const auto& each : this->batch)
        now.outstanding_tokens += each->max_tokens - std::min(each->position, each->max_tokens);
    return now;
}

void engine::schedule_load_report() {
    this->reported = this->measure();
    this->load_timer =
        this->loop.schedule(this->options.load_lag, [this] { this->schedule_load_report(); });
}

void engine::show_load(http::exchange& incoming) const {
    respond_json(incoming, 200,
                 {{"incarnation", this->incarnation},
                  {"in_flight", this->reported.in_flight},
                  {"queued", 0},
                  {"outstanding_tokens", this->reported.outstanding_tokens},
                  {"generation", this->finished}});
}

void engine::show_cache_events(http::exchange& incoming) {
    std::uint64_t after = 0;
    const auto query = incoming.request().query;
    if (query.starts_with("after="))
        std::from_chars(query.data() + 6, query.data() + query.size(), after);
    json events = json::array();
    const auto latest = this->loop.time().now() - this->options.event_lag;
    for (const auto& each : this->cache.events())
        if (each.number > after && each.at <= latest &&
            this->random.fraction() >= this->options.event_gap_share)
            events.push_back({{"number", each.number},
                              {"kind", each.added ? "added" : "removed"},
                              {"hash", each.hash}});
    respond_json(incoming, 200, {{"incarnation", this->incarnation}, {"events", events}});
}

void engine::show_counters(http::exchange& incoming) const {
    respond_json(incoming, 200,
                 {{"name", this->options.name},
                  {"started", this->started},
                  {"finished", this->finished},
                  {"cancelled", this->cancelled},
                  {"overwhelmed", this->overloads},
                  {"in_flight", this->batch.size()},
                  {"max_in_flight", this->max_in_flight},
                  {"tokens_out", this->tokens_out},
                  {"prompt_tokens", this->prompt_tokens},
                  {"cached_tokens", this->cached_tokens},
                  {"cold", this->is_cold()},
                  {"bears", this->concurrency_allowance}});
}

} // namespace samphirespool::standins
