// Reads arbitrary bytes as a configuration document. A document that is
// accepted must equal the document that is read from its written form.

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>

#include "LibBase/verify.h"
#include "LibConfiguration/document.h"
#include "LibConfiguration/document_reader.h"
#include "LibConfiguration/document_writer.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto reading = configuration::ReadDocument(text);
  const auto* document = std::get_if<configuration::Document>(&reading);
  if (document == nullptr)
    return 0;
  const auto reread =
      configuration::ReadDocument(configuration::WriteDocument(*document));
  VERIFY(std::holds_alternative<configuration::Document>(reread));
  VERIFY(std::get<configuration::Document>(reread) == *document);
  return 0;
}
