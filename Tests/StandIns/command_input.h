// Reads command lines from standard input and prints their responses. The end
// of the input stops the event loop.

#ifndef STANDINS_COMMAND_INPUT_H_
#define STANDINS_COMMAND_INPUT_H_

#include <string>

#include <asio.hpp>

#include "StandIns/line_commands.h"

namespace stand_ins {

class EventLoop;

class CommandInput {
 public:
  // `loop` and `commands` must outlive this object.
  CommandInput(EventLoop* loop, const LineCommands* commands);

 private:
  void ReadNext();

  EventLoop* m_loop;
  const LineCommands* m_commands;
  asio::posix::stream_descriptor m_input;
  std::string m_buffer;
};

}  // namespace stand_ins

#endif  // STANDINS_COMMAND_INPUT_H_
