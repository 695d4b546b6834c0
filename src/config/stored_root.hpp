// The root object of the configuration in the store: the version, the preset in force, the marks,
// and the names of the immutable chunk objects that hold the documents. Accepting a change is one
// conditional update of this object.
#pragma once

#include "config/documents.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::config {

inline constexpr std::string_view root_key = "configuration/root";
inline constexpr std::string_view chunk_prefix = "configuration/chunk/";

// Chunk 0 holds the services and presets; every other chunk holds the organisations whose names
// hash to it. With 36,000 organisations a chunk holds about 140 of them, some 30 KB.
constexpr std::size_t organisation_chunks = 255;
constexpr std::size_t chunk_count = organisation_chunks + 1;
// Limit on the value of the root and of each chunk; a change that would exceed it is invalid.
constexpr std::size_t max_object_bytes = 1'000'000;

// Accepted changes whose request ids the root holds, so that a retry gets the result of the first
// attempt.
constexpr std::size_t max_recent_changes = 256;
// Settled provisional marks that the root holds for each data centre or VM.
constexpr std::size_t max_settled_marks = 16;

struct stored_root {
    configuration_version version = 0;
    // The process that wrote this version, and a number that it uses only once. A writer that lost
    // the reply to its update recognises by them whether the update took effect.
    std::string writer;
    std::uint64_t nonce = 0;
    std::string preset_in_force = "ordinary";
    std::map<std::string, mark, std::less<>> data_centre_marks;
    std::map<std::string, mark, std::less<>> vm_marks;
    // Names of the chunk objects. Invariant: there are chunk_count of them; an empty name stands
    // for an empty chunk. A name is never reused, neither for other content nor after it was
    // replaced.
    std::vector<std::string> chunks = std::vector<std::string>(chunk_count);
    // Recent changes: request id to the version that accepted the change.
    std::map<std::string, configuration_version, std::less<>> recent;
    // Settled provisional marks: settled_key ("dc/NAME" or "vm/NAME") to the request ids that
    // accepted changes took into account, oldest first.
    std::map<std::string, std::vector<std::string>, std::less<>> settled;

    friend bool operator==(const stored_root&, const stored_root&) = default;
};

// Returns the index of the chunk that holds the organisation.
std::size_t organisation_chunk(std::string_view organisation_name);

std::string write_root(const stored_root& root);
// Returns nothing if the text is not a root of a known format.
std::optional<stored_root> parse_root(std::string_view text);

// Returns the RFC 6902 patch that turns the JSON form of `from` into that of `to`.
std::string diff_roots(const stored_root& from, const stored_root& to);
// Applies such a patch. Returns nothing if it does not apply or the result is not a valid root.
std::optional<stored_root> patch_root(const stored_root& from, std::string_view patch);

} // namespace samphirespool::config
