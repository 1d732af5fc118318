#ifndef TRANSPORT_RELAY_SHARE_EVENT_H_
#define TRANSPORT_RELAY_SHARE_EVENT_H_

namespace tamaracktrail {

//! Why requests that wait for a share try to reserve again.
enum class ShareEvent {
  kPolled,       //!< The budget records were read.
  kLoan,         //!< A peer has lent tokens.
  kBorrowEnded,  //!< No peer is being asked any more.
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_SHARE_EVENT_H_
