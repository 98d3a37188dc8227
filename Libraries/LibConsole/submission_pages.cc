#include "LibConsole/submission_pages.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <vector>

#include "LibBase/overloaded.h"
#include "LibConfiguration/difference.h"
#include "LibConsole/draft_action.h"
#include "LibConsole/draft_rebase.h"
#include "LibConsole/page.h"

namespace console {

namespace {

Html DifferenceSection(std::string_view title,
                       const configuration::Document& before,
                       const configuration::Document& after) {
  const auto changes = configuration::DifferenceBetween(before, after);
  Html items;
  for (const configuration::Change& change : changes)
    items += Element("li", {}, Text(ToString(change)));
  const Html list = changes.empty()
                        ? Element("p", {}, Text("There is no difference."))
                        : Element("ul", {}, items);
  return Element("section", {}, Element("h2", {}, Text(title)) + list);
}

Html HiddenFields(const Draft& draft) {
  Html fields;
  for (const FormField& field : FieldsOf(draft))
    fields += HiddenField(field.m_name, field.m_value);
  return fields;
}

Html PrimaryButton(std::string_view label) {
  return Element("button", {{"type", "submit"}, {"class", "primary"}},
                 Text(label));
}

// Returns a form with one button that posts the draft and `action` to /edit.
Html EditorButtonForm(const Draft& draft,
                      const DraftAction& action,
                      std::string_view label) {
  return Element("form", {{"method", "post"}, {"action", "/edit"}},
                 HiddenFields(draft) + ActionButton(ToString(action), label));
}

Html SubmitForm(const Draft& draft) {
  const Html token =
      Element("label", {},
              Element("span", {}, Text("Operator token")) +
                  VoidElement("input", {{"type", "password"},
                                        {"name", std::string(kTokenField)},
                                        {"autocomplete", "off"},
                                        {"required", ""}}));
  return Element("form", {{"method", "post"}, {"action", "/submit"}},
                 HiddenFields(draft) +
                     Element("p", {{"class", "actions"}},
                             token + PrimaryButton("Submit the document")));
}

Html StartAgainLink() {
  return Element("p", {{"class", "actions"}},
                 Element("a", {{"href", "/edit"}, {"class", "button"}},
                         Text("Start again from the version in force")));
}

std::string RenderAccepted(const SubmitAccepted& accepted) {
  const Html overview_link =
      Element("p", {{"class", "actions"}},
              Element("a", {{"href", "/"}, {"class", "button"}},
                      Text("Show the version in force")));
  return RenderPage("Accepted",
                    Notice(NoticeKind::kSuccess,
                           fmt::format("The document is accepted as version "
                                       "{}. Every balancer applies it "
                                       "within seconds.",
                                       accepted.m_version.value())) +
                        overview_link);
}

std::string RenderRefused(const Draft& draft, std::string_view reason) {
  return RenderPage(
      "Refused",
      Notice(NoticeKind::kError,
             fmt::format("The document was refused and nothing took effect: "
                         "{}",
                         reason)) +
          EditorButtonForm(draft, ShowEditor{}, "Back to the editor"));
}

std::string RenderUnavailable(const Draft& draft) {
  return RenderPage(
      "Platform unavailable",
      Notice(NoticeKind::kWarning,
             "The platform could not be reached. Nothing took effect; the "
             "document is kept on this page to be submitted again.") +
          EditorButtonForm(draft, ShowReview{}, "Review and submit again"));
}

std::string RenderUnknown(const Draft& draft, const SubmitUnknown& unknown) {
  const std::string target =
      fmt::format("/submission?id={}&base={}", unknown.m_submission,
                  draft.m_base_version.value());
  return RenderPage(
      "Outcome unknown",
      Notice(NoticeKind::kWarning,
             "The platform's response was lost, so the document may or may not "
             "have taken effect. Don't submit it again before the outcome is "
             "known.") +
          Element("p", {{"class", "actions"}},
                  Element("a", {{"href", target}, {"class", "button primary"}},
                          Text("Check whether it took effect"))));
}

// What the document in force records about a submission. A document lists its
// own submission and some earlier ones.
// kTookEffect: the submission is listed.
// kSuperseded: another submission with the same base version is listed.
// kPending: the base version, or an older one, is still in force.
// kNotRecorded: neither the submission nor its base version is listed.
enum class SubmissionState { kTookEffect, kSuperseded, kPending, kNotRecorded };

SubmissionState StateOf(std::string_view id,
                        base::ConfigurationVersion base,
                        const DocumentInForce& current) {
  std::vector<configuration::SubmissionEntry> entries{
      current.m_document.m_submission};
  const auto& previous = current.m_document.m_previous_submissions;
  entries.insert(entries.end(), previous.begin(), previous.end());
  const auto same_id =
      std::ranges::find(entries, id, &configuration::SubmissionEntry::m_id);
  if (same_id != entries.end() && !id.empty())
    return SubmissionState::kTookEffect;
  if (current.m_version <= base)
    return SubmissionState::kPending;
  const auto same_base = std::ranges::find(
      entries, base, &configuration::SubmissionEntry::m_base_version);
  return same_base != entries.end() ? SubmissionState::kSuperseded
                                    : SubmissionState::kNotRecorded;
}

}  // namespace

std::string RenderReview(const Draft& draft,
                         const configuration::Document& previous,
                         const configuration::CheckedDocument& checked,
                         std::string_view error) {
  Html content;
  if (!error.empty())
    content += Notice(NoticeKind::kError, error);
  if (!checked.m_warnings.empty()) {
    content += Notice(NoticeKind::kWarning,
                      "The document is valid, with these warnings:");
    content += ProblemList(checked.m_warnings);
  }
  const std::string title =
      fmt::format("Changes to version {}", draft.m_base_version.value());
  content += DifferenceSection(title, previous, checked.m_document);
  content += SubmitForm(draft);
  content += Element(
      "p", {}, EditorButtonForm(draft, ShowEditor{}, "Back to the editor"));
  return RenderPage("Review", content);
}

std::string RenderConflict(const Draft& draft, const DocumentInForce& current) {
  Html content = Notice(
      NoticeKind::kError,
      fmt::format("Version {} took effect while you were editing version {}. "
                  "None of your changes took effect.",
                  current.m_version.value(), draft.m_base_version.value()));
  const auto base = BaseDocumentOf(draft);
  if (base)
    content += DifferenceSection("What the other operator changed", *base,
                                 current.m_document);
  content += StartAgainLink();
  content += Element(
      "p", {},
      Text("Or apply your changes to the new version. Where you and the other "
           "operator changed the same value, your value is kept; the review "
           "lists every change."));
  content += EditorButtonForm(RebaseDraft(draft, current), ShowReview{},
                              "Review my changes on the new version");
  return RenderPage("Conflict", content);
}

std::string RenderOutcome(const Draft& draft, const SubmitOutcome& outcome) {
  return std::visit(
      base::Overloaded{
          [](const SubmitAccepted& accepted) {
            return RenderAccepted(accepted);
          },
          [&](const SubmitRefused& refused) {
            return RenderRefused(draft, refused.m_reason);
          },
          [&](const SubmitConflict& conflict) {
            return RenderConflict(draft, conflict.m_current);
          },
          [&](const SubmitUnavailable&) { return RenderUnavailable(draft); },
          [&](const SubmitUnknown& unknown) {
            return RenderUnknown(draft, unknown);
          }},
      outcome);
}

std::string RenderSubmission(std::string_view id,
                             base::ConfigurationVersion base,
                             const DocumentInForce& current) {
  const std::string version = std::to_string(current.m_version.value());
  switch (StateOf(id, base, current)) {
    case SubmissionState::kTookEffect:
      return RenderPage("Accepted",
                        Notice(NoticeKind::kSuccess,
                               "The submission took effect; it is part of "
                               "version " +
                                   version + "."));
    case SubmissionState::kSuperseded:
      return RenderPage(
          "Conflict",
          Notice(NoticeKind::kError,
                 "Another document took effect first, in or "
                 "before version " +
                     version + ". This submission will never take effect.") +
              StartAgainLink());
    case SubmissionState::kPending:
      return RenderPage(
          "Outcome unknown",
          Notice(NoticeKind::kWarning,
                 "This balancer still has version " + version +
                     ". Load this page again until the outcome is known."));
    case SubmissionState::kNotRecorded:
      return RenderPage(
          "Outcome unknown",
          Notice(NoticeKind::kWarning,
                 "Version " + version +
                     " no longer records the outcome of this submission. "
                     "Compare the version with your document.") +
              StartAgainLink());
  }
  return {};
}

}  // namespace console
