#ifndef PROTOCOL_EVENT_CUTTER_H_
#define PROTOCOL_EVENT_CUTTER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace tamaracktrail {

//! Cuts a stream of server-sent events behind whole events, without changing
//! their bytes. Not thread-safe.
class EventCutter {
 public:
  //! Adds bytes and returns those of the whole events that are new to the
  //! caller: events with an id up to `last_id`, which a resumed stream may
  //! repeat, are left out.
  std::string Feed(std::string_view bytes);

  //! The stream goes on from another source; a part of an event is forgotten.
  void Restart() { buf_.clear(); }

  //! Bytes of an event that is not whole, which are given up.
  std::string TakeRest();

  //! Events passed on so far.
  int64_t count() const { return count_; }
  //! Id of the last event passed on; empty for none.
  const std::string& last_id() const { return last_id_; }

 private:
  bool IsRepeated(std::string_view event, std::string* id) const;

  std::string buf_;
  int64_t count_ = 0;
  std::string last_id_;
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_EVENT_CUTTER_H_
