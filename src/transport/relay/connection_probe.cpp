#include "transport/relay/connection_probe.h"

#include <utility>

namespace tamaracktrail {

ConnectionProbe::ConnectionProbe(EventLoop* loop,
                                 const std::string& address,
                                 Millis timeout,
                                 OnResult on_result)
    : loop_(loop), on_result_(std::move(on_result)) {
  auto stream = TcpStream::Connect(loop, address, timeout, this);
  const bool failed = !stream.ok();
  if (!failed) {
    stream_ = std::move(*stream);
  }
  timer_ =
      loop_->After(failed ? Millis(0) : timeout, [this] { Finish(false); });
}

ConnectionProbe::~ConnectionProbe() {
  loop_->Cancel(&timer_);
}

void ConnectionProbe::Finish(bool accepts) {
  loop_->Cancel(&timer_);
  stream_.reset();
  const OnResult on_result = std::exchange(on_result_, nullptr);
  on_result(accepts);
}

}  // namespace tamaracktrail
