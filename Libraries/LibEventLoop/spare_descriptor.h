// A file descriptor that a process reserves, so that it can open one more file
// or socket after its limit is reached.

#ifndef LIBEVENTLOOP_SPARE_DESCRIPTOR_H_
#define LIBEVENTLOOP_SPARE_DESCRIPTOR_H_

namespace event_loop {

class SpareDescriptor {
 public:
  SpareDescriptor() { Reserve(); }
  ~SpareDescriptor() { Release(); }
  SpareDescriptor(const SpareDescriptor&) = delete;
  SpareDescriptor& operator=(const SpareDescriptor&) = delete;

  // Queries.
  bool IsReserved() const { return m_descriptor >= 0; }

  // Commands.
  // Does nothing if the descriptor is reserved, or if the process has none
  // left.
  void Reserve();
  void Release();

 private:
  int m_descriptor = -1;
};

}  // namespace event_loop

#endif  // LIBEVENTLOOP_SPARE_DESCRIPTOR_H_
