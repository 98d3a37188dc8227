// The signals that control the balancer: SIGHUP, SIGTERM and SIGINT.
//
// Their default action ends the process. The executable therefore blocks them
// before its first initialiser (main.cc) and after its event loop; a signal
// that is sent meanwhile stays pending.

#ifndef SERVICES_EDGE_CONTROL_SIGNALS_H_
#define SERVICES_EDGE_CONTROL_SIGNALS_H_

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <functional>

namespace edge {

// Blocks the control signals and ignores SIGPIPE. Uses no static object, so it
// may run before the static initialisers.
void BlockControlSignals() noexcept;

// Gives the control signals and SIGPIPE their default action, for commands that
// a signal may end.
void RestoreDefaultSignals() noexcept;

// Passes the control signals to a handler on the event loop.
class ControlSignals {
 public:
  using Handler = std::function<void(int signal)>;

  // Installs handlers with the system and unblocks the signals. They are passed
  // on when the event loop runs, to the handler that is set then. Throws
  // std::system_error if the system refuses a handler.
  explicit ControlSignals(asio::io_context& context);
  // Blocks the signals before their handlers are removed.
  ~ControlSignals();
  ControlSignals(const ControlSignals&) = delete;
  ControlSignals& operator=(const ControlSignals&) = delete;

  // Commands.
  void SetHandler(Handler handler);

 private:
  void Wait();

  asio::signal_set m_signals;
  Handler m_handler;
};

}  // namespace edge

#endif  // SERVICES_EDGE_CONTROL_SIGNALS_H_
