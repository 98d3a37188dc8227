#include "LibEventLoop/spare_descriptor.h"

#include <fcntl.h>
#include <unistd.h>

namespace event_loop {

void SpareDescriptor::Reserve() {
  if (!IsReserved())
    m_descriptor = open("/dev/null", O_RDONLY | O_CLOEXEC);
}

void SpareDescriptor::Release() {
  if (IsReserved())
    close(m_descriptor);
  m_descriptor = -1;
}

}  // namespace event_loop
