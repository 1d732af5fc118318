#ifndef PROTOCOL_INI_READER_H_
#define PROTOCOL_INI_READER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/setting_fault.h"

typedef struct _GKeyFile GKeyFile;

namespace tamaracktrail {

//! Reads one INI text with checks, and collects all faults rather than stopping
//! at the first. Lists are separated by semicolons. Not thread-safe.
class IniReader {
 public:
  //! Precondition: `faults` outlives the reader.
  IniReader(std::string file,
            const std::string& text,
            std::vector<SettingFault>* faults);
  ~IniReader();

  IniReader(const IniReader&) = delete;
  IniReader& operator=(const IniReader&) = delete;

  std::vector<std::string> Sections() const;

  //! Value of a key; nullopt where it is absent, which is a fault where
  //! `required`.
  std::optional<std::string> String(const std::string& section,
                                    const std::string& key,
                                    bool required = false);

  //! The value, or `fallback` where the key is absent or at fault.
  int64_t Integer(const std::string& section,
                  const std::string& key,
                  int64_t fallback,
                  int64_t min,
                  int64_t max);
  double Number(const std::string& section,
                const std::string& key,
                double fallback,
                double min,
                double max);
  bool Boolean(const std::string& section,
               const std::string& key,
               bool fallback);
  std::vector<std::string> List(const std::string& section,
                                const std::string& key);

  //! The value, which must be one of `allowed`; else the first of them.
  std::string Choice(const std::string& section,
                     const std::string& key,
                     const std::vector<std::string>& allowed);

  //! Adds a fault about a value that was read.
  void AddFault(const std::string& section,
                const std::string& key,
                const std::string& read,
                const std::string& allowed);

  //! Makes a fault of each key that none of the calls above asked for.
  void CheckNoOthers();

 private:
  std::string file_;
  std::vector<SettingFault>* faults_;
  GKeyFile* keys_;
  std::map<std::string, std::set<std::string>> asked_;
};

//! Whether `text` is "IP:port" with a numeric IPv4 or IPv6 address.
bool IsAddress(const std::string& text);

}  // namespace tamaracktrail

#endif  // PROTOCOL_INI_READER_H_
