#include "StandIns/command_input.h"

#include <unistd.h>

#include <system_error>

#include "StandIns/event_loop.h"
#include "StandIns/json_line.h"

namespace stand_ins {

namespace {

constexpr std::size_t kMaximumLineBytes = 4096;

}  // namespace

CommandInput::CommandInput(EventLoop* loop, const LineCommands* commands)
    : m_loop(loop), m_commands(commands), m_input(loop->Context()) {
  std::error_code error;
  m_input.assign(::dup(STDIN_FILENO), error);
  if (error)
    asio::post(loop->Context(), [loop] { loop->Stop(); });
  else
    ReadNext();
}

void CommandInput::ReadNext() {
  asio::async_read_until(
      m_input, asio::dynamic_buffer(m_buffer, kMaximumLineBytes), '\n',
      [this](std::error_code error, std::size_t size) {
        if (error) {
          m_loop->Stop();
          return;
        }
        const std::string line = m_buffer.substr(0, size - 1);
        m_buffer.erase(0, size);
        PrintLine(m_commands->Execute(line));
        ReadNext();
      });
}

}  // namespace stand_ins
