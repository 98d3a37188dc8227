// Validates a document as a whole, and as the replacement of another document.

#ifndef LIBCONFIGURATION_DOCUMENT_VALIDATION_H_
#define LIBCONFIGURATION_DOCUMENT_VALIDATION_H_

#include "LibConfiguration/document.h"
#include "LibConfiguration/problem.h"

namespace configuration {

// Returns whether `problems` contains an error; warnings do not count.
bool HasError(const Problems& problems);

// Returns the errors that involve more than one field: duplicate names and
// addresses, contradictory values and colliding ids. The problems have no
// position.
Problems Validate(const Document& document);

// Returns the errors that prevent `next` from replacing `previous`: an
// incarnation that decreases or does not increase where it must, and an address
// that changes from one service to another in a single step. Also returns
// warnings about active backend servers that are removed and about services
// whose address changes. `next` must be valid by itself. The problems have no
// position.
Problems ValidateReplacement(const Document& previous, const Document& next);

}  // namespace configuration

#endif  // LIBCONFIGURATION_DOCUMENT_VALIDATION_H_
