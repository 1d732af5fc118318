#include "state/budget_beat.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <sstream>

namespace tamaracktrail {

namespace {

//! Ends the key of a beat; claims have an organisation behind it.
constexpr char kSeparator = '/';

}  // namespace

std::string BudgetBeatKey(const BudgetBeat& beat) {
  return beat.instance + kSeparator;
}

std::string EncodeBudgetBeat(const BudgetBeat& beat) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(beat.incarnation, beat.boot, beat.at);
  return out.str();
}

std::optional<BudgetBeat> DecodeBudgetBeat(const std::string& key,
                                           const std::string& value) {
  if (key.size() < 2 || key.find(kSeparator) != key.size() - 1) {
    return std::nullopt;
  }
  BudgetBeat beat;
  beat.instance = key.substr(0, key.size() - 1);
  try {
    std::istringstream in(value);
    cereal::PortableBinaryInputArchive archive(in);
    archive(beat.incarnation, beat.boot, beat.at);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return beat;
}

}  // namespace tamaracktrail
