import { err, ok, type Result } from "neverthrow";
import {
  compareConfigErrors,
  type ConfigError,
  type ConfigFile,
} from "./config_error.ts";
import { readSections, type Section } from "./read_sections.ts";
import {
  checkReferences,
  type ServingSections,
  splitReference,
} from "./references.ts";
import { SERVING_SECTIONS } from "./serving_sections.ts";
import {
  type RequestClass,
  type ServingConfig,
  ServingConfigSchema,
} from "./serving.ts";

/** Merges files in the order of their names and validates the result; returns all errors, sorted. */
export function checkFolder(
  files: readonly ConfigFile[],
): Result<ServingConfig, readonly ConfigError[]> {
  const ordered = [...files].sort((a, b) => a.name < b.name ? -1 : 1);
  const { sections, errors } = readSections(ordered, SERVING_SECTIONS);
  const allErrors = [...errors, ...checkReferences(sections)];
  if (allErrors.length > 0) return err(allErrors.sort(compareConfigErrors));
  const parsed = ServingConfigSchema.safeParse(buildConfig(sections));
  if (parsed.success) return ok(parsed.data);
  return err(parsed.error.issues.map((issue): ConfigError => ({
    code: "out_of_range",
    file: "",
    line: 0,
    section: String(issue.path[0] ?? ""),
    key: issue.path.join("."),
    found: "the merged configuration",
    allowed: issue.message,
  })));
}

function buildConfig(sections: ServingSections): unknown {
  return {
    models: buildItems(sections.model, (model) => ({
      ...model.value,
      adapters: sections.adapter
        .filter((adapter) => adapter.value.model === model.name)
        .map((adapter) => adapter.name).sort(),
    })),
    groups: buildItems(sections.group, (group) => ({
      checksFencing: group.value.checksFencing,
      orderDelayMs: group.value.orderDelayMs,
      loaded: (group.value.models ?? []).map((reference) =>
        resolveLoaded(reference, group.value.adapters ?? [], sections)
      ),
    })),
    services: buildItems(sections.service, (service) => service.value),
    teams: buildItems(sections.team, (team) => team.value),
    classes: sortByUrgency(
      buildItems(sections.class, (section) => section.value),
    ),
    limits: sections.limits[0]?.value,
  };
}

function resolveLoaded(
  reference: string,
  adapters: readonly string[],
  sections: ServingSections,
): unknown {
  const { model, version } = splitReference(reference);
  const section = sections.model.find((section) => section.name === model);
  const modelAdapters = sections.adapter.filter((adapter) =>
    adapter.value.model === model
  ).map((adapter) => adapter.name);
  return {
    model,
    version: version ?? section?.value.version,
    adapters: adapters.filter((adapter) => modelAdapters.includes(adapter)),
  };
}

function buildItems<Value>(
  sections: readonly Section<Value>[],
  build: (section: Section<Value>) => unknown,
): unknown[] {
  return [...sections].sort((a, b) => a.name < b.name ? -1 : 1).map((
    section,
  ) => ({ id: section.name, ...(build(section) as object) }));
}

/** Sorts classes by urgency, most urgent first; the first is the default class of requests. */
function sortByUrgency(classes: readonly unknown[]): unknown[] {
  const urgency = (item: unknown) =>
    (item as Partial<RequestClass>).urgency ?? 0;
  return [...classes].sort((a, b) => urgency(a) - urgency(b));
}
