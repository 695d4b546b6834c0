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

// Chunk 0 holds services and presets; each other one holds the organisations whose names hash to
// it. At 36,000 organisations a chunk has about 140, some 30 KB.
constexpr std::size_t organisation_chunks = 255;
constexpr std::size_t chunk_count = organisation_chunks + 1;
constexpr std::size_t max_object_bytes = 1'000'000;

// Accepted changes whose request ids are remembered, so that a repeat is answered as the first.
constexpr std::size_t max_recent_changes = 256;
// Provisional marks remembered as settled for each name.
constexpr std::size_t max_settled_marks = 16;

struct stored_root {
    configuration_version version = 0;
    // Who wrote this version, and a number that the writer never repeats; a writer whose answer
    // was lost finds out by them whether the update took effect.
    std::string writer;
    std::uint64_t nonce = 0;
    std::string preset_in_force = "ordinary";
    std::map<std::string, mark, std::less<>> data_centre_marks;
    std::map<std::string, mark, std::less<>> vm_marks;
    // Invariant: chunk_count names of chunk objects; an empty name stands for an empty chunk. A
    // name is never used for another content, and never comes back once it was replaced.
    std::vector<std::string> chunks = std::vector<std::string>(chunk_count);
    // Request id to the version as which the change was accepted.
    std::map<std::string, configuration_version, std::less<>> recent;
    // Mark ("dc/NAME" or "vm/NAME") to the provisional marks that later changes took into account.
    std::map<std::string, std::vector<std::string>, std::less<>> settled;

    friend bool operator==(const stored_root&, const stored_root&) = default;
};

std::size_t organisation_chunk(std::string_view organisation_name);

std::string write_root(const stored_root& root);
// Returns nothing if the text is no root of a known format.
std::optional<stored_root> parse_root(std::string_view text);

// RFC 6902 patch that turns one root's JSON form into the other's, and its application.
std::string diff_roots(const stored_root& from, const stored_root& to);
std::optional<stored_root> patch_root(const stored_root& from, std::string_view patch);

} // namespace samphirespool::config
