// Converts the configuration messages to and from FlatBuffers tables.
#include "wire/configuration_codec.hpp"

#include "wire/generated/configuration_generated.h"

#include <string>
#include <utility>

namespace samphirespool::wire {

namespace {

using builder = flatbuffers::FlatBufferBuilder;
using strings_offset =
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>>;

struct encoded_body {
    fb::configuration_body type = fb::configuration_body::NONE;
    flatbuffers::Offset<void> offset;
};

fb::vm_list_version to_fb(const config::vm_list_version& from) {
    return {from.number, from.publisher};
}

flatbuffers::Offset<fb::vm_entry> to_fb(builder& out, const helpers::vm_entry& from) {
    std::vector<flatbuffers::Offset<fb::target_entry>> targets;
    for (const auto& target : from.targets)
        targets.push_back(fb::Createtarget_entryDirect(
            out, target.name.c_str(), target.service.c_str(), target.address.ip.c_str(),
            target.address.port, target.incarnation));
    return fb::Createvm_entryDirect(out, from.name.c_str(), from.data_centre.c_str(),
                                    from.region.c_str(), from.leaving, &targets);
}

encoded_body write_body(builder& out, const config::state_digest& from) {
    const auto vms = to_fb(from.vms);
    return {fb::configuration_body::state_digest,
            fb::Createstate_digest(out, from.has_state, from.version, from.marks, &vms,
                                   from.wants_reply)
                .Union()};
}

encoded_body write_body(builder& out, const config::delta_push& from) {
    const strings_offset deltas = out.CreateVectorOfStrings(from.deltas);
    return {fb::configuration_body::delta_push, fb::Createdelta_push(out, deltas).Union()};
}

encoded_body write_body(builder& out, const config::snapshot_offer& from) {
    return {fb::configuration_body::snapshot_offer,
            fb::Createsnapshot_offer(out, from.version).Union()};
}

encoded_body write_body(builder& out, const config::marks_push& from) {
    std::vector<flatbuffers::Offset<fb::provisional_mark>> marks;
    for (const auto& mark : from.marks)
        marks.push_back(fb::Createprovisional_markDirect(out, mark.id.c_str(),
                                                         static_cast<std::uint8_t>(mark.subject),
                                                         mark.name.c_str(), mark.since));
    return {fb::configuration_body::marks_push, fb::Createmarks_pushDirect(out, &marks).Union()};
}

encoded_body write_body(builder& out, const config::vms_push& from) {
    std::vector<flatbuffers::Offset<fb::vm_entry>> changed;
    for (const auto& vm : from.changed)
        changed.push_back(to_fb(out, vm));
    const auto entries = out.CreateVector(changed);
    const strings_offset removed = out.CreateVectorOfStrings(from.removed);
    const auto from_version = to_fb(from.from);
    const auto to_version = to_fb(from.to);
    return {fb::configuration_body::vms_push,
            fb::Createvms_push(out, &from_version, &to_version, entries, removed).Union()};
}

encoded_body write_body(builder& out, const config::snapshot_request& from) {
    return {fb::configuration_body::snapshot_request,
            fb::Createsnapshot_request(out, from.call, from.part).Union()};
}

encoded_body write_body(builder& out, const config::snapshot_reply& from) {
    const auto name = out.CreateString(from.name);
    const auto text = out.CreateString(from.text);
    return {fb::configuration_body::snapshot_reply,
            fb::Createsnapshot_reply(out, from.call, from.found, name, text).Union()};
}

std::string string_or_empty(const flatbuffers::String* from) {
    return from == nullptr ? std::string() : from->str();
}

std::vector<std::string>
strings_or_empty(const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>* from) {
    std::vector<std::string> result;
    if (from != nullptr)
        for (const auto* text : *from)
            result.push_back(string_or_empty(text));
    return result;
}

config::vm_list_version version_of(const fb::vm_list_version* from) {
    return from == nullptr ? config::vm_list_version{}
                           : config::vm_list_version{from->number(), from->publisher()};
}

helpers::vm_entry vm_of(const fb::vm_entry& from) {
    helpers::vm_entry result{string_or_empty(from.name()),
                             string_or_empty(from.data_centre()),
                             string_or_empty(from.region()),
                             from.leaving(),
                             {}};
    if (from.targets() == nullptr)
        return result;
    for (const auto* target : *from.targets())
        result.targets.push_back({string_or_empty(target->name()),
                                  string_or_empty(target->service()),
                                  {string_or_empty(target->ip()), target->port()},
                                  target->incarnation()});
    return result;
}

std::optional<config::configuration_message> read_body(const fb::state_digest& from) {
    return config::state_digest{from.has_state(), from.version(), from.marks(),
                                version_of(from.vms()), from.wants_reply()};
}

std::optional<config::configuration_message> read_body(const fb::delta_push& from) {
    return config::delta_push{strings_or_empty(from.deltas())};
}

std::optional<config::configuration_message> read_body(const fb::snapshot_offer& from) {
    return config::snapshot_offer{from.version()};
}

std::optional<config::configuration_message> read_body(const fb::marks_push& from) {
    config::marks_push result;
    if (from.marks() == nullptr)
        return result;
    for (const auto* mark : *from.marks()) {
        if (mark->subject() > static_cast<std::uint8_t>(config::mark_subject::vm))
            return std::nullopt;
        result.marks.push_back({string_or_empty(mark->id()),
                                static_cast<config::mark_subject>(mark->subject()),
                                string_or_empty(mark->name()), mark->since()});
    }
    return result;
}

std::optional<config::configuration_message> read_body(const fb::vms_push& from) {
    config::vms_push result{version_of(from.from()), version_of(from.to()), {}, {}};
    if (from.changed() != nullptr)
        for (const auto* vm : *from.changed())
            result.changed.push_back(vm_of(*vm));
    result.removed = strings_or_empty(from.removed());
    return result;
}

std::optional<config::configuration_message> read_body(const fb::snapshot_request& from) {
    return config::snapshot_request{from.call(), from.part()};
}

std::optional<config::configuration_message> read_body(const fb::snapshot_reply& from) {
    return config::snapshot_reply{from.call(), from.found(), string_or_empty(from.name()),
                                  string_or_empty(from.text())};
}

using body_reader =
    std::optional<config::configuration_message> (*)(const fb::configuration_frame&);

template <class Table>
std::optional<config::configuration_message> read_as(const fb::configuration_frame& frame) {
    return read_body(*frame.body_as<Table>());
}

// Indexed by fb::configuration_body, in the order of the schema's union.
constexpr body_reader readers[] = {
    nullptr,
    read_as<fb::state_digest>,
    read_as<fb::delta_push>,
    read_as<fb::snapshot_offer>,
    read_as<fb::marks_push>,
    read_as<fb::vms_push>,
    read_as<fb::snapshot_request>,
    read_as<fb::snapshot_reply>,
};

} // namespace

std::vector<std::uint8_t> encode(const config::configuration_message& message) {
    builder out;
    const auto body =
        std::visit([&out](const auto& from) { return write_body(out, from); }, message);
    out.Finish(fb::Createconfiguration_frame(out, body.type, body.offset));
    return {out.GetBufferPointer(), out.GetBufferPointer() + out.GetSize()};
}

std::optional<config::configuration_message>
decode_configuration(std::span<const std::uint8_t> payload) {
    flatbuffers::Verifier verifier(payload.data(), payload.size());
    if (!fb::Verifyconfiguration_frameBuffer(verifier))
        return std::nullopt;
    const auto& frame = *fb::Getconfiguration_frame(payload.data());
    const auto type = static_cast<std::size_t>(frame.body_type());
    if (frame.body() == nullptr || type == 0 || type >= std::size(readers))
        return std::nullopt;
    return readers[type](frame);
}

} // namespace samphirespool::wire
