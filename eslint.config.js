import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['**/dist/**', 'target/**', 'coverage/**', 'out/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  prettier,
  {
    languageOptions: {
      parserOptions: {
        projectService: false,
        project: ['packages/*/tsconfig.json', 'platform/tsconfig.json', 'tsconfig.test.json'],
      },
    },
    rules: {
      // One task per connection is written straight down, so loops await and continue.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'no-restricted-syntax': 'off',
      'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
      // Private helpers stand below the public function that uses them.
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, classes: false }],
      // One main class a file, with its private helpers and its subclasses.
      'max-classes-per-file': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/no-rename-default': 'off',
      // The TypeScript compiler resolves imports; this rule does not know .js specifiers of .ts files.
      'import-x/no-unresolved': 'off',
      'import-x/extensions': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      // A default case is checked by the compiler through exhaustive types.
      'default-case': 'off',
      'consistent-return': 'off',
      // A class keeps its steps as methods in reading order, also those without state.
      'class-methods-use-this': 'off',
      'no-console': 'error',
      'no-void': ['error', { allowAsStatement: true }],
    },
  },
  { files: ['**/*.js'], ...tseslint.configs.disableTypeChecked },
);
