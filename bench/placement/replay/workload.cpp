// Generates chats that continue: most of them within minutes, some from a large set of old chats.
#include "bench/placement/replay/workload.hpp"

#include "kernel/random.hpp"
#include "placement/chat_key.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>

namespace samphirespool::replay {

namespace {

constexpr std::size_t recent_chats = 20'000;
// Assumed text size of a token; decides how much of a prompt the chat key covers.
constexpr std::size_t bytes_per_token = 4;
// Share of requests that enter through a random region instead of their chat's home region.
constexpr double cross_region_share = 0.03;

struct chat_state {
    std::uint32_t organisation = 0;
    std::uint32_t document = 0;
    std::uint32_t home_region = 0;
    std::uint32_t turns = 0;
};

class traffic_source {
public:
    traffic_source(const trace& replayed_trace, std::size_t number, std::uint64_t seed)
        : replayed_trace(replayed_trace),
          shape(replayed_trace.traffic[number]),
          number(number),
          random(seed) {
        for (std::uint32_t i = 0; i < this->shape.old_chats; ++i) {
            this->open_chat(this->draw_skewed(this->shape.organisations, 3));
            this->chats.back().turns = static_cast<std::uint32_t>(this->random.below(6));
        }
        for (std::size_t i = 0; i < replayed_trace.services.size(); ++i)
            if (replayed_trace.services[i].name == this->shape.service)
                this->service = static_cast<std::uint32_t>(i);
    }

    double next_interval(double rate) { return -std::log(1 - this->random.fraction()) / rate; }

    arrival next_request(double at) {
        const auto draw = this->random.fraction();
        std::size_t chat = 0;
        const auto old = this->shape.recent_share + this->shape.old_share;
        if (draw < this->shape.recent_share && !this->recent.empty())
            chat = this->recent[this->random.below(this->recent.size())];
        else if (draw<old&& this->shape.old_chats> 0)
            chat = this->random.below(this->shape.old_chats);
        else
            chat = this->open_chat(this->draw_skewed(this->shape.organisations, 3));
        return this->request_of(chat, at);
    }

    arrival open_request_of(std::uint32_t organisation, double at) {
        return this->request_of(this->open_chat(organisation), at);
    }

    const traced_traffic& traffic() const { return this->shape; }

private:
    // Draws below `count` with a bias towards small numbers that grows with `power`.
    std::uint32_t draw_skewed(std::uint32_t count, int power) {
        return static_cast<std::uint32_t>(count * std::pow(this->random.fraction(), power));
    }

    std::size_t open_chat(std::uint32_t organisation) {
        this->chats.push_back(
            {organisation, this->draw_skewed(this->shape.documents, 2),
             static_cast<std::uint32_t>(this->random.below(this->replayed_trace.regions)), 0});
        return this->chats.size() - 1;
    }

    std::uint32_t router_of(const chat_state& chat) {
        const bool crosses_region = this->random.fraction() < cross_region_share;
        const auto region =
            crosses_region
                ? static_cast<std::uint32_t>(this->random.below(this->replayed_trace.regions))
                : chat.home_region;
        const auto in_region =
            (this->replayed_trace.routers - region - 1) / this->replayed_trace.regions + 1;
        return region + this->replayed_trace.regions *
                            static_cast<std::uint32_t>(this->random.below(in_region));
    }

    arrival request_of(std::size_t chat_number, double at) {
        auto& chat = this->chats[chat_number];
        arrival new_request;
        new_request.at_seconds = at;
        new_request.service = this->service;
        new_request.organisation = chat.organisation;
        new_request.router = this->router_of(chat);
        const auto prefix = std::to_string(this->number) + "/" + std::to_string(chat.organisation) +
                            "/" + std::to_string(chat.document);
        const auto name = prefix + "/" + std::to_string(chat_number);
        new_request.document = helpers::hash_name(prefix);
        new_request.chat = helpers::hash_name(name);
        new_request.document_tokens = this->shape.document_tokens;
        new_request.chat_tokens =
            (chat.turns + 1) * this->shape.turn_tokens + chat.turns * this->shape.output_tokens;
        new_request.output_tokens = this->shape.output_tokens;
        new_request.returning = chat.turns > 0;
        new_request.key = this->key_of(new_request, prefix, name);
        constexpr std::uint32_t longest_chat = 20;
        chat.turns = std::min(chat.turns + 1, longest_chat);
        this->add_recent(chat_number);
        return new_request;
    }

    helpers::chat_key key_of(const arrival& new_request, const std::string& document,
                             const std::string& chat) const {
        if (new_request.prompt_tokens() <= 1)
            return placement::no_chat;
        const bool document_decides =
            new_request.document_tokens * bytes_per_token >= placement::leading_bytes;
        const std::array<std::string_view, 2> opening{document, chat};
        return placement::make_chat_key({}, {new_request.organisation}, this->shape.service,
                                        std::span(opening).first(document_decides ? 1 : 2));
    }

    void add_recent(std::size_t chat) {
        if (this->recent.size() < recent_chats)
            this->recent.push_back(chat);
        else
            this->recent[this->next_recent++ % recent_chats] = chat;
    }

    const trace& replayed_trace;
    const traced_traffic& shape;
    std::size_t number;
    kernel::random_source random;
    std::uint32_t service = 0;
    std::vector<chat_state> chats;
    std::vector<std::size_t> recent;
    std::size_t next_recent = 0;
};

void add_surge(const trace& replayed_trace, const traced_event& surge, traffic_source& source,
               std::vector<arrival>& arrivals) {
    // The organisation's normal rate follows from its share of the skewed distribution.
    const auto& shape = source.traffic();
    const auto share = std::cbrt((surge.subject + 1.0) / shape.organisations) -
                       std::cbrt(static_cast<double>(surge.subject) / shape.organisations);
    const auto rate = shape.requests_per_second * share * (surge.factor - 1);
    const auto end = std::min(replayed_trace.seconds, surge.at_seconds + surge.seconds);
    auto at = surge.at_seconds + source.next_interval(rate);
    for (; at < end; at += source.next_interval(rate))
        arrivals.push_back(source.open_request_of(surge.subject, at));
}

} // namespace

std::vector<arrival> generate(const trace& replayed_trace, bool with_surges) {
    std::vector<arrival> arrivals;
    for (std::size_t number = 0; number < replayed_trace.traffic.size(); ++number) {
        traffic_source source(replayed_trace, number, replayed_trace.seed * 1000 + number);
        const auto rate = replayed_trace.traffic[number].requests_per_second;
        for (auto at = source.next_interval(rate); at < replayed_trace.seconds;
             at += source.next_interval(rate))
            arrivals.push_back(source.next_request(at));
        // Surges are generated last, so that the random draws of the other requests don't change.
        for (const auto& event : replayed_trace.events)
            if (with_surges && event.action == traced_action::surge)
                add_surge(replayed_trace, event, source, arrivals);
    }
    for (const auto& event : replayed_trace.events)
        for (auto& request : arrivals)
            if (event.action == traced_action::surge && request.organisation == event.subject)
                request.surging = true;
    std::ranges::stable_sort(arrivals, {}, &arrival::at_seconds);
    return arrivals;
}

} // namespace samphirespool::replay
