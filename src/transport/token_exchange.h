#ifndef TRANSPORT_TOKEN_EXCHANGE_H_
#define TRANSPORT_TOKEN_EXCHANGE_H_

#include <functional>
#include <string>

#include "coordination/lending_message.h"
#include "transport/event_loop.h"

namespace tamaracktrail {

class EventLog;
class Metrics;
struct RelayContext;

//! Carries the messages of RelayContext::lending between instances, logs each
//! loan on both sides, and lets waiting requests try again. Not thread-safe.
class TokenExchange {
 public:
  using Send = std::function<void(const std::string& address,
                                  const LendingMessage& message)>;

  //! Precondition: loop, log, metrics and context outlive this.
  TokenExchange(EventLoop* loop,
                EventLog* log,
                Metrics* metrics,
                RelayContext* context,
                Send send);
  ~TokenExchange();

  TokenExchange(const TokenExchange&) = delete;
  TokenExchange& operator=(const TokenExchange&) = delete;

  //! A peer has sent a message.
  void OnMessage(const LendingMessage& message);

  //! Sends what `lending` has to send.
  void Flush();

  //! See TokenLending::HandOver.
  void HandOver(bool whole_share);

 private:
  void OnRequest(const TokenRequest& request);
  void OnLoan(const TokenLoan& loan);
  void OnTick();
  void UpdateMetrics();

  EventLoop* loop_;
  EventLog* log_;
  Metrics* metrics_;
  RelayContext* context_;
  Send send_;
  EventLoop::TimerId timer_{};
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_TOKEN_EXCHANGE_H_
