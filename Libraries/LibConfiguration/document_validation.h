// Checks a document as a whole, and as the replacement of another.

#ifndef LIBCONFIGURATION_DOCUMENT_VALIDATION_H_
#define LIBCONFIGURATION_DOCUMENT_VALIDATION_H_

#include "LibConfiguration/document.h"
#include "LibConfiguration/problem.h"

namespace configuration {

// Whether `problems` holds more than warnings.
bool HasError(const Problems& problems);

// Returns the errors that no single field shows: names and addresses that
// stand twice, values that contradict each other, ids that collide. The
// problems have no position.
Problems Validate(const Document& document);

// Returns what forbids `next`, which is valid by itself, to replace
// `previous`: incarnations that do not grow where they have to, an address
// that passes from one service to another at once. Also warns of active
// backend servers that are removed. The problems have no position.
Problems ValidateReplacement(const Document& previous, const Document& next);

}  // namespace configuration

#endif  // LIBCONFIGURATION_DOCUMENT_VALIDATION_H_
