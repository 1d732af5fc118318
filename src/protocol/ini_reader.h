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

//! Reads and validates one INI text. Collects all faults instead of stopping at
//! the first. List items are separated by semicolons. Not thread-safe.
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

  //! Keys of a section; none if it is absent.
  std::vector<std::string> Keys(const std::string& section) const;

  //! Value of a key; nullopt if it is absent, which adds a fault if `required`.
  std::optional<std::string> String(const std::string& section,
                                    const std::string& key,
                                    bool required = false);

  //! Integer value of a key. Returns `fallback` if the key is absent; if the
  //! value is not an integer in [min, max], also adds a fault.
  int64_t Integer(const std::string& section,
                  const std::string& key,
                  int64_t fallback,
                  int64_t min,
                  int64_t max);

  //! Numeric value of a key. Returns `fallback` if the key is absent; if the
  //! value is not a number in [min, max], also adds a fault.
  double Number(const std::string& section,
                const std::string& key,
                double fallback,
                double min,
                double max);

  //! Boolean value of a key. Returns `fallback` if the key is absent; if the
  //! value is neither true nor false, also adds a fault.
  bool Boolean(const std::string& section,
               const std::string& key,
               bool fallback);

  //! Items of a list, trimmed and without empty ones; empty if the key is
  //! absent.
  std::vector<std::string> List(const std::string& section,
                                const std::string& key);

  //! Value of a key, which must be one of `allowed`. Returns the first of them
  //! if the key is absent; if the value is another one, also adds a fault.
  //! Precondition: `allowed` is not empty.
  std::string Choice(const std::string& section,
                     const std::string& key,
                     const std::vector<std::string>& allowed);

  //! Adds a fault for the value `read` of a key.
  void AddFault(const std::string& section,
                const std::string& key,
                const std::string& read,
                const std::string& allowed);

  //! Adds a fault for each key that no earlier call has requested.
  void RejectUnknownKeys();

 private:
  std::string file_;
  std::vector<SettingFault>* faults_;
  GKeyFile* keys_;
  std::map<std::string, std::set<std::string>> requested_keys_;
};

//! Whether `text` is "IP:port" with a numeric IPv4 or IPv6 address.
bool IsAddress(const std::string& text);

}  // namespace tamaracktrail

#endif  // PROTOCOL_INI_READER_H_
