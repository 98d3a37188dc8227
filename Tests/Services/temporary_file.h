// A file that the destructor of its object removes.

#ifndef TESTS_SERVICES_TEMPORARY_FILE_H_
#define TESTS_SERVICES_TEMPORARY_FILE_H_

#include <cstdio>
#include <fstream>
#include <string>
#include <utility>

class TemporaryFile {
 public:
  TemporaryFile(std::string path, const std::string& text)
      : m_path(std::move(path)) {
    std::ofstream(m_path) << text;
  }
  ~TemporaryFile() { std::remove(m_path.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  const std::string& path() const { return m_path; }

 private:
  std::string m_path;
};

#endif  // TESTS_SERVICES_TEMPORARY_FILE_H_
