#include "cli/file_io.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"

namespace tamaracktrail {

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in || std::filesystem::is_directory(path)) {
    return absl::NotFoundError(absl::StrCat(path, ": ", strerror(errno)));
  }
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

absl::StatusOr<std::vector<ConfigFile>> ReadDeclarations(
    const std::string& folder) {
  namespace fs = std::filesystem;
  std::error_code ec;
  std::vector<ConfigFile> files;
  for (fs::recursive_directory_iterator it(folder, ec), end; it != end;
       it.increment(ec)) {
    if (it->path().extension() != ".ini" || !it->is_regular_file(ec)) {
      continue;
    }
    absl::StatusOr<std::string> text = ReadFile(it->path());
    if (!text.ok()) {
      return text.status();
    }
    files.push_back({fs::relative(it->path(), folder), *std::move(text)});
  }
  if (ec) {
    return absl::NotFoundError(absl::StrCat(folder, ": ", ec.message()));
  }
  std::sort(files.begin(), files.end(),
            [](const auto& a, const auto& b) { return a.path < b.path; });
  return files;
}

}  // namespace tamaracktrail
