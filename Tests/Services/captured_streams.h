// Captures the output of a subcommand.

#ifndef TESTS_SERVICES_CAPTURED_STREAMS_H_
#define TESTS_SERVICES_CAPTURED_STREAMS_H_

#include <iostream>
#include <sstream>
#include <string>

// Redirects std::cout and std::cerr for the lifetime of the object.
class CapturedStreams {
 public:
  CapturedStreams()
      : m_old_output(std::cout.rdbuf(m_output.rdbuf())),
        m_old_errors(std::cerr.rdbuf(m_errors.rdbuf())) {}
  ~CapturedStreams() {
    std::cout.rdbuf(m_old_output);
    std::cerr.rdbuf(m_old_errors);
  }
  CapturedStreams(const CapturedStreams&) = delete;
  CapturedStreams& operator=(const CapturedStreams&) = delete;

  std::string Output() const { return m_output.str(); }
  std::string Errors() const { return m_errors.str(); }

 private:
  std::ostringstream m_output;
  std::ostringstream m_errors;
  std::streambuf* m_old_output;
  std::streambuf* m_old_errors;
};

#endif  // TESTS_SERVICES_CAPTURED_STREAMS_H_
