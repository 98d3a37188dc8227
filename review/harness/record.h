// Writes what was sent, answered and run, one line for each event.

#ifndef REVIEW_HARNESS_RECORD_H_
#define REVIEW_HARNESS_RECORD_H_

#include <fstream>
#include <string>

namespace review {

class Record {
 public:
  explicit Record(const std::string& path) : m_file(path) {}

  void Write(const std::string& event, const std::string& details);
  // The rule was broken.
  void WriteBreach(const std::string& rule, const std::string& details);
  int Breaches() const { return m_breaches; }

 private:
  std::ofstream m_file;
  int m_breaches = 0;
};

}  // namespace review

#endif  // REVIEW_HARNESS_RECORD_H_
