import { z } from "zod";
import type { AdapterId, ModelId } from "../core/id.ts";
import { idSchema } from "../wire/brands.ts";
import { LimitKeysSchema } from "./limits.ts";
import type { SectionSpecs } from "./sections.ts";
import {
  classKeys,
  groupKeys,
  modelKeys,
  serviceKeys,
  teamKeys,
} from "./serving.ts";

const MAX_LIST_ITEMS = 1_000;

const modelReference = z.string().regex(/^[^@\s]+(@[^@\s]+)?$/).max(257)
  .meta({ allowed: "MODEL or MODEL@VERSION" });

/** The sections of a configuration folder. */
export const SERVING_SECTIONS = {
  model: {
    named: true,
    required: false,
    meaning: "A model that teams may ask for.",
    schema: z.object(modelKeys),
  },
  adapter: {
    named: true,
    required: false,
    meaning: "An adapter of a model.",
    schema: z.object({
      model: idSchema<ModelId>().describe("The model that it adapts."),
    }),
  },
  group: {
    named: true,
    required: false,
    meaning: "Engines that run the same weights under one lease holder.",
    schema: z.object({
      models: z.array(modelReference).min(1).max(MAX_LIST_ITEMS)
        .describe(
          "Models that its engines load; without a version, the model's own default.",
        ),
      adapters: z.array(idSchema<AdapterId>()).max(MAX_LIST_ITEMS).default([])
        .describe("Adapters that its engines load, of these models."),
      ...groupKeys,
    }),
  },
  service: {
    named: true,
    required: false,
    meaning: "A plain service.",
    schema: z.object(serviceKeys),
  },
  team: {
    named: true,
    required: false,
    meaning: "A team, its tokens and what it may use.",
    schema: z.object(teamKeys),
  },
  class: {
    named: true,
    required: true,
    meaning:
      "A request class: how urgent a kind of request is. A request that names none has the most urgent one, by name among equals.",
    schema: z.object(classKeys),
  },
  limits: {
    named: false,
    required: false,
    meaning: "Limits of every daemon.",
    schema: LimitKeysSchema,
  },
} as const satisfies SectionSpecs;
