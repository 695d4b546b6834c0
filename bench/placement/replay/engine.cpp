// Block-wise prefix cache and the service time model.
#include "bench/placement/replay/engine.hpp"

#include <algorithm>

namespace samphirespool::replay {

namespace {

constexpr double base_seconds = 0.05;
constexpr double prompt_tokens_per_second = 8000;
constexpr double seconds_per_output_token = 0.025;
constexpr double cold_factor = 8;

} // namespace

std::uint64_t prefix_cache::block_id(std::uint64_t segment, std::uint32_t number) {
    auto hash = (segment + number) * 0x9e3779b97f4a7c15ULL;
    hash ^= hash >> 32;
    return hash * 0xd6e8feb86659fd93ULL;
}

std::uint32_t prefix_cache::count_cached_blocks(std::uint64_t segment, std::uint32_t wanted) const {
    std::uint32_t low = 0;
    std::uint32_t high = wanted;
    while (low < high) {
        const auto middle = (low + high + 1) / 2;
        if (this->blocks.contains(block_id(segment, middle - 1)))
            low = middle;
        else
            high = middle - 1;
    }
    return low;
}

std::uint32_t prefix_cache::cached_tokens(const arrival& request) const {
    const auto document_blocks = request.document_tokens / block_tokens;
    const auto of_document = this->count_cached_blocks(request.document, document_blocks);
    if (of_document < document_blocks)
        return of_document * block_tokens;
    const auto of_chat =
        this->count_cached_blocks(request.chat, request.chat_tokens / block_tokens);
    return (of_document + of_chat) * block_tokens;
}

void prefix_cache::touch(std::uint64_t id) {
    const auto found = this->blocks.find(id);
    if (found != this->blocks.end()) {
        this->order.splice(this->order.begin(), this->order, found->second);
        return;
    }
    if (this->blocks.size() >= this->capacity) {
        this->blocks.erase(this->order.back());
        this->order.pop_back();
    }
    this->order.push_front(id);
    this->blocks[id] = this->order.begin();
}

void prefix_cache::insert(const arrival& request) {
    if (this->capacity == 0)
        return;
    const auto chat_blocks = (request.chat_tokens + request.output_tokens) / block_tokens;
    for (auto i = chat_blocks; i-- > 0;)
        this->touch(block_id(request.chat, i));
    for (auto i = request.document_tokens / block_tokens; i-- > 0;)
        this->touch(block_id(request.document, i));
}

void prefix_cache::clear() {
    this->order.clear();
    this->blocks.clear();
}

service_time estimate_service_time(const arrival& request, std::uint32_t cached, bool cold) {
    const auto uncached = static_cast<double>(request.prompt_tokens() - cached);
    service_time time;
    time.first_byte = base_seconds + uncached / prompt_tokens_per_second;
    if (cold)
        time.first_byte *= cold_factor;
    time.whole = time.first_byte + request.output_tokens * seconds_per_output_token;
    return time;
}

} // namespace samphirespool::replay
