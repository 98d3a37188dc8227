#include "record.h"

#include "loop.h"

namespace review {

void Record::Write(const std::string& event, const std::string& details) {
  m_file << Loop::Now() << " " << event << " " << details << "\n";
}

void Record::WriteBreach(const std::string& rule, const std::string& details) {
  ++m_breaches;
  Write("BREACH " + rule, details);
}

}  // namespace review
