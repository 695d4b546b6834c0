// Chats that return: most within minutes, some from a large population of old ones.
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
// Bytes of text for one token, to tell how much of a prompt decides the key.
constexpr std::size_t bytes_per_token = 4;
// Requests return through their chat's region but for this share.
constexpr double strays = 0.03;

struct chat_state {
    std::uint32_t organisation = 0;
    std::uint32_t document = 0;
    std::uint32_t home_region = 0;
    std::uint32_t turns = 0;
};

class traffic_source {
public:
    traffic_source(const trace& from, std::size_t number, std::uint64_t seed)
        : from(from), shape(from.traffic[number]), number(number), random(seed) {
        for (std::uint32_t i = 0; i < this->shape.old_chats; ++i) {
            this->open(this->skewed(this->shape.organisations, 3));
            this->chats.back().turns = static_cast<std::uint32_t>(this->random.below(6));
        }
        for (std::size_t i = 0; i < from.services.size(); ++i)
            if (from.services[i].name == this->shape.service)
                this->service = static_cast<std::uint32_t>(i);
    }

    double next_gap(double rate) { return -std::log(1 - this->random.fraction()) / rate; }

    arrival make(double at) {
        const auto draw = this->random.fraction();
        std::size_t chat = 0;
        const auto old = this->shape.recent_share + this->shape.old_share;
        if (draw < this->shape.recent_share && !this->recent.empty())
            chat = this->recent[this->random.below(this->recent.size())];
        else if (draw<old&& this->shape.old_chats> 0)
            chat = this->random.below(this->shape.old_chats);
        else
            chat = this->open(this->skewed(this->shape.organisations, 3));
        return this->request_of(chat, at);
    }

    arrival make_of(std::uint32_t organisation, double at) {
        return this->request_of(this->open(organisation), at);
    }

    const traced_traffic& traffic() const { return this->shape; }

private:
    // Small numbers are the popular ones; the power sets by how much.
    std::uint32_t skewed(std::uint32_t count, int power) {
        return static_cast<std::uint32_t>(count * std::pow(this->random.fraction(), power));
    }

    std::size_t open(std::uint32_t organisation) {
        this->chats.push_back({organisation, this->skewed(this->shape.documents, 2),
                               static_cast<std::uint32_t>(this->random.below(this->from.regions)),
                               0});
        return this->chats.size() - 1;
    }

    std::uint32_t router_of(const chat_state& chat) {
        const bool stray = this->random.fraction() < strays;
        const auto region = stray
                                ? static_cast<std::uint32_t>(this->random.below(this->from.regions))
                                : chat.home_region;
        const auto in_region = (this->from.routers - region - 1) / this->from.regions + 1;
        return region +
               this->from.regions * static_cast<std::uint32_t>(this->random.below(in_region));
    }

    arrival request_of(std::size_t chat_number, double at) {
        auto& chat = this->chats[chat_number];
        arrival made;
        made.at_seconds = at;
        made.service = this->service;
        made.organisation = chat.organisation;
        made.router = this->router_of(chat);
        const auto prefix = std::to_string(this->number) + "/" + std::to_string(chat.organisation) +
                            "/" + std::to_string(chat.document);
        const auto name = prefix + "/" + std::to_string(chat_number);
        made.document = helpers::hash_name(prefix);
        made.chat = helpers::hash_name(name);
        made.document_tokens = this->shape.document_tokens;
        made.chat_tokens =
            (chat.turns + 1) * this->shape.turn_tokens + chat.turns * this->shape.output_tokens;
        made.output_tokens = this->shape.output_tokens;
        made.returning = chat.turns > 0;
        made.key = this->key_of(made, prefix, name);
        constexpr std::uint32_t longest_chat = 20;
        chat.turns = std::min(chat.turns + 1, longest_chat);
        this->remember(chat_number);
        return made;
    }

    helpers::chat_key key_of(const arrival& made, const std::string& document,
                             const std::string& chat) const {
        if (made.prompt_tokens() <= 1)
            return placement::no_chat;
        const bool document_decides =
            made.document_tokens * bytes_per_token >= placement::leading_bytes;
        const std::array<std::string_view, 2> opening{document, chat};
        return placement::make_chat_key({}, {made.organisation}, this->shape.service,
                                        std::span(opening).first(document_decides ? 1 : 2));
    }

    void remember(std::size_t chat) {
        if (this->recent.size() < recent_chats)
            this->recent.push_back(chat);
        else
            this->recent[this->next_recent++ % recent_chats] = chat;
    }

    const trace& from;
    const traced_traffic& shape;
    std::size_t number;
    kernel::random_source random;
    std::uint32_t service = 0;
    std::vector<chat_state> chats;
    std::vector<std::size_t> recent;
    std::size_t next_recent = 0;
};

void add_surge(const trace& from, const traced_event& surge, traffic_source& source,
               std::vector<arrival>& arrivals) {
    // The organisation's own rate, by its share of the skewed distribution.
    const auto& shape = source.traffic();
    const auto share = std::cbrt((surge.subject + 1.0) / shape.organisations) -
                       std::cbrt(static_cast<double>(surge.subject) / shape.organisations);
    const auto rate = shape.requests_per_second * share * (surge.factor - 1);
    const auto end = std::min(from.seconds, surge.at_seconds + surge.seconds);
    auto at = surge.at_seconds + source.next_gap(rate);
    for (; at < end; at += source.next_gap(rate))
        arrivals.push_back(source.make_of(surge.subject, at));
}

} // namespace

std::vector<arrival> generate(const trace& from, bool with_surges) {
    std::vector<arrival> arrivals;
    for (std::size_t number = 0; number < from.traffic.size(); ++number) {
        traffic_source source(from, number, from.seed * 1000 + number);
        const auto rate = from.traffic[number].requests_per_second;
        for (auto at = source.next_gap(rate); at < from.seconds; at += source.next_gap(rate))
            arrivals.push_back(source.make(at));
        // Surges come last, so that they change nothing of the other requests.
        for (const auto& event : from.events)
            if (with_surges && event.action == traced_action::surge)
                add_surge(from, event, source, arrivals);
    }
    for (const auto& event : from.events)
        for (auto& each : arrivals)
            if (event.action == traced_action::surge && each.organisation == event.subject)
                each.surging = true;
    std::ranges::stable_sort(arrivals, {}, &arrival::at_seconds);
    return arrivals;
}

} // namespace samphirespool::replay
