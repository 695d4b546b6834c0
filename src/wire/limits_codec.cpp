// Encodes and decodes the messages about the limits of organisations.
#include "wire/limits_codec.hpp"

#include "wire/generated/limits_generated.h"

#include <algorithm>
#include <cmath>

namespace samphirespool::wire {

namespace {

// Longest validity of a share; received messages with a longer one are rejected.
constexpr std::uint32_t max_valid_ms = 60'000;

bool is_rate(double value) {
    return std::isfinite(value) && value >= 0;
}

std::uint32_t to_ms(helpers::duration span) {
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, max_valid_ms));
}

} // namespace

bytes encode_limits(const limits_message& content) {
    flatbuffers::FlatBufferBuilder builder;
    std::vector<fb::limit_usage> reports;
    for (const auto& report : content.reports)
        reports.emplace_back(report.organisation.value, report.router.value, report.wanted_rate,
                             report.wanted_in_flight, report.used_in_flight);
    std::vector<fb::limit_grant> shares;
    for (const auto& share : content.shares)
        shares.emplace_back(share.organisation.value, share.rate, share.in_flight,
                            to_ms(share.valid_for));
    const auto reports_at = builder.CreateVectorOfStructs(reports);
    const auto shares_at = builder.CreateVectorOfStructs(shares);
    builder.Finish(fb::Createlimits_message(builder, reports_at, shares_at));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

std::optional<limits_message> decode_limits(std::span<const std::uint8_t> payload) {
    flatbuffers::Verifier verifier(payload.data(), payload.size());
    if (!fb::Verifylimits_messageBuffer(verifier))
        return std::nullopt;
    const auto* table = fb::Getlimits_message(payload.data());
    limits_message result;
    if (table->reports() != nullptr)
        for (const auto* report : *table->reports()) {
            if (!is_rate(report->wanted_rate()))
                return std::nullopt;
            result.reports.push_back({helpers::organisation_id{report->organisation()},
                                      helpers::router_id{report->router()}, report->wanted_rate(),
                                      report->wanted_in_flight(), report->used_in_flight()});
        }
    if (table->shares() != nullptr)
        for (const auto* share : *table->shares()) {
            if (!is_rate(share->rate()) || share->valid_ms() > max_valid_ms)
                return std::nullopt;
            result.shares.push_back({helpers::organisation_id{share->organisation()}, share->rate(),
                                     share->in_flight(),
                                     std::chrono::milliseconds(share->valid_ms())});
        }
    return result;
}

} // namespace samphirespool::wire
