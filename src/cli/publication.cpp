#include "cli/publication.h"

#include <filesystem>
#include <map>
#include <set>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "cli/file_io.h"
#include "coordination/catalog.h"
#include "state/digest.h"

namespace tamaracktrail {

namespace {

std::string DerivedId(uint64_t base, const std::vector<ConfigFile>& files) {
  std::string all = absl::StrCat(base);
  for (const ConfigFile& it : files) {
    absl::StrAppend(&all, "\n", it.path, "\n", it.text);
  }
  return Hex(Sha256(all));
}

std::set<std::string> LinesOf(const std::string& text) {
  return absl::StrSplit(text, '\n', absl::SkipWhitespace());
}

}  // namespace

Configuration CollectDeclarations(const std::vector<std::string>& folders,
                                  uint64_t base,
                                  const std::string& id,
                                  std::vector<SettingFault>* faults) {
  Configuration out;
  out.base = base;
  for (const std::string& folder : folders) {
    const auto files = ReadDeclarations(folder);
    if (!files.ok()) {
      faults->push_back({folder, "", "", std::string(files.status().message()),
                         "a folder of .ini files"});
      continue;
    }
    const std::string name =
        std::filesystem::path(folder).lexically_normal().filename();
    for (const ConfigFile& it : *files) {
      out.files.push_back({absl::StrCat(name, "/", it.path), it.text});
    }
  }
  ParseCatalog(/*version=*/0, out.files, faults);
  out.id = id.empty() ? DerivedId(base, out.files) : id;
  return out;
}

std::vector<std::string> DiffFiles(const std::vector<ConfigFile>& before,
                                   const std::vector<ConfigFile>& after) {
  std::map<std::string, std::string> old_files;
  std::map<std::string, std::string> new_files;
  for (const ConfigFile& it : before) {
    old_files[it.path] = it.text;
  }
  for (const ConfigFile& it : after) {
    new_files[it.path] = it.text;
  }
  std::vector<std::string> out;
  for (const auto& [path, text] : old_files) {
    if (!new_files.contains(path)) {
      out.push_back("removed " + path);
    }
  }
  for (const auto& [path, text] : new_files) {
    if (!old_files.contains(path)) {
      out.push_back("added " + path);
    } else if (old_files[path] != text) {
      out.push_back("changed " + path);
      const std::set<std::string> old_lines = LinesOf(old_files[path]);
      const std::set<std::string> new_lines = LinesOf(text);
      for (const std::string& it : old_lines) {
        if (!new_lines.contains(it)) {
          out.push_back("  - " + it);
        }
      }
      for (const std::string& it : new_lines) {
        if (!old_lines.contains(it)) {
          out.push_back("  + " + it);
        }
      }
    }
  }
  return out;
}

}  // namespace tamaracktrail
