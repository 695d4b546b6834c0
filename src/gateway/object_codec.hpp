// Converts the content of store objects to the gateway's types and back.
#pragma once

#include "admission/crash_quarantine.hpp"
#include "discovery/target.hpp"
#include "exchange/hub_order.hpp"
#include "exchange/message.hpp"
#include "exchange/version_history.hpp"
#include "kernel/error.hpp"
#include "rollout/order.hpp"
#include "routing/configuration.hpp"

#include <optional>
#include <string_view>

namespace samphirespool::gateway {

// An order of a rollout with the name of its version.
struct rollout_order {
    std::string service;
    std::string to;
    rollout::stored_order stored;
};

class object_codec {
public:
    virtual ~object_codec() = default;

    // The read functions return nothing and set `reason` if the content is invalid.
    virtual std::optional<routing::configuration>
    read_configuration(std::string_view content, kernel::error& reason) const = 0;
    virtual std::optional<discovery::target>
    read_target(std::string_view name, std::string_view content, kernel::error& reason) const = 0;
    // Path of the report in which a target states its start, and that start as in its registration.
    virtual std::string_view target_report_path() const = 0;
    virtual std::optional<std::int64_t> read_target_start(std::string_view report) const = 0;
    virtual std::optional<exchange::member>
    read_member(std::string_view name, std::string_view content, kernel::error& reason) const = 0;
    virtual std::string write_member(const exchange::member& self) const = 0;
    // The state of a suspect: generation, whether it is quarantined, depth and failed
    // trials.
    virtual std::optional<admission::crash_evidence>
    read_suspect(std::string_view name, std::string_view content, kernel::error& reason) const = 0;
    virtual std::string write_suspect(const admission::crash_evidence& state) const = 0;
    // A number of records of streams; see exchange/origin_ring.hpp.
    virtual std::optional<exchange::stream_origin_list>
    read_stream_origins(std::string_view name, std::string_view content,
                        kernel::error& reason) const = 0;
    virtual std::string write_stream_origins(const exchange::stream_origin_list& records) const = 0;
    virtual std::optional<exchange::version_lists>
    read_version_lists(std::string_view name, std::string_view content,
                       kernel::error& reason) const = 0;
    virtual std::string write_version_lists(const exchange::version_lists& lists) const = 0;
    // `content` is the whole object, with its revisions and its status.
    virtual std::optional<rollout_order>
    read_rollout(std::string_view name, std::string_view content, kernel::error& reason) const = 0;
    virtual std::string write_rollout_status(rollout::phase state, std::string_view to) const = 0;
    virtual std::optional<rollout::record> read_rollout_record(std::string_view name,
                                                               std::string_view content,
                                                               kernel::error& reason) const = 0;
    virtual std::string write_rollout_record(const rollout::record& state) const = 0;
};

} // namespace samphirespool::gateway
